"""Base class of a host's actors, which keep running after an exception."""

from traceback import format_exc

from pykka import ThreadingActor

from damasktally.events import emit
from damasktally.events.catalogue import ACTOR_FAILED


class HostActor(ThreadingActor):
    """Actor that handles messages one at a time and logs exceptions.

    An exception does not stop the actor. A host whose view keeper or member actor
    had stopped would go on serving with a stale view or stale shares.

    The name of the subclass stands in the log event ``actor-failed``, so a subclass
    must keep its name.
    """

    def on_receive(self, message: object) -> object:
        """Pass a message to :meth:`handle` and log any exception."""
        try:
            return self.handle(message)
        except Exception:
            emit(ACTOR_FAILED, actor=type(self).__name__, traceback=format_exc())
            return None

    def handle(self, message: object) -> object:
        """Handle one message.

        :returns: the reply to an ``ask`` call.
        :raises NotImplementedError: unless a subclass overrides it.
        """
        raise NotImplementedError
