"""Keep an actor alive when one message makes it fail."""

from traceback import format_exc

from pykka import ThreadingActor

from damasktally.events import emit
from damasktally.events.catalogue import ACTOR_FAILED


class HostActor(ThreadingActor):
    """Handle messages one by one; a failure is logged and the next one is handled.

    A host whose view keeper or member had died would go on serving with what it
    last knew, so a failure must not end them.
    """

    def on_receive(self, message: object) -> object:
        """Hand a message to :meth:`handle`."""
        try:
            return self.handle(message)
        except Exception:
            emit(ACTOR_FAILED, actor=type(self).__name__, traceback=format_exc())
            return None

    def handle(self, message: object) -> object:
        """Handle one message.

        :returns: what an asker gets.
        """
        raise NotImplementedError
