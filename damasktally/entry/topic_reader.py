"""Read the topics of the view from the store."""

from asyncio import get_running_loop
from collections.abc import Callable
from math import inf

from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView
from damasktally.platform.store import (
    CONFIGURATION_KIND,
    EVACUATIONS_KIND,
    SERVERS_KIND,
    Changes,
    StoreClient,
)

KIND_BY_TOPIC = {
    Topic.CONFIGURATION: CONFIGURATION_KIND,
    Topic.EVACUATIONS: EVACUATIONS_KIND,
    Topic.SERVERS: SERVERS_KIND,
}
NEVER_REACHED_AGE_S = 1e6
"""Age that messages carry if this host has never reached the store."""


class TopicReader:
    """Bring the topics of a view up to date from the store.

    All methods that call the store raise
    :class:`~damasktally.platform.store.StoreUnavailable` if it does not respond, or
    reports an error, and :class:`~damasktally.platform.store.HistoryGone` if it no
    longer has the changes since the known revision.

    :param store: the platform's store.
    :param view: what is brought up to date.
    :param on_confirmed: called with a topic each time the store confirmed it.
    """

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        on_confirmed: Callable[[Topic], None],
    ) -> None:
        self._store = store
        self._view = view
        self._on_confirmed = on_confirmed
        self._loop = get_running_loop()
        self._complete_at: dict[Topic, float] = dict.fromkeys(Topic, -inf)

    async def list_topic(self, topic: Topic) -> None:
        """Replace a topic by what the store lists."""
        listing = await self._store.list_objects(KIND_BY_TOPIC[topic])
        self._view.replace(
            topic, listing.revision, listing.specs, "store", self._loop.time()
        )

    async def watch(self, topic: Topic, wait_s: float) -> bool:
        """Wait for changes of a topic and apply them.

        :param wait_s: how long the store waits for a change, in seconds.
        :returns: whether there were any.
        """
        revision = self._view.revisions[topic]
        page = await self._store.watch(KIND_BY_TOPIC[topic], revision, wait_s)
        self.apply(topic, page)
        return bool(page.changes)

    async def check(self, topic: Topic, revision: int) -> Changes:
        """Return the changes of a topic after a revision, without waiting for any."""
        return await self._store.check(KIND_BY_TOPIC[topic], revision)

    def apply(self, topic: Topic, page: Changes) -> None:
        """Apply changes of a topic, which may be none, and take their revision."""
        changes = [(change.name, change.spec) for change in page.changes]
        self._view.apply(topic, page.revision, changes, "store", self._loop.time())

    def record_complete(self, topic: Topic) -> None:
        """Record that this host has all changes of a topic up to now."""
        self._complete_at[topic] = self._loop.time()
        self._on_confirmed(topic)

    @property
    def has_reached_store(self) -> bool:
        """Return whether all topics were ever complete."""
        return min(self._complete_at.values()) > -inf

    @property
    def age_s(self) -> float:
        """Return how long ago all topics were complete, in seconds.

        That one of them is delivered does not show that the others are.
        """
        oldest = min(self._complete_at.values())
        return min(NEVER_REACHED_AGE_S, self._loop.time() - oldest)
