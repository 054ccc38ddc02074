"""This host's replica of the desired state, which the store or other hosts update.

Each topic has a revision, which never decreases.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from damasktally.errors import DamasktallyError
from damasktally.fleet.changes import describe_change
from damasktally.fleet.model import Configuration, Server, era_of
from damasktally.fleet.restores import RestoreTimes
from damasktally.fleet.servers import ServerTable
from damasktally.fleet.staleness import TopicStaleness
from damasktally.fleet.topics import Topic
from damasktally.fleet.view_changes import (
    MAX_KEPT_VIEW_DELTAS,
    MAX_LOGGED_SERVERS,
    OWN_SOURCE,
    Decoders,
    Edit,
    ViewChange,
    ViewDelta,
)


class FleetView:
    """Current configuration, evacuations and servers, each with its revision.

    ``generation`` grows with every change, so that results derived from the view can be
    cached. ``staleness`` tells how recent each topic is. ``evacuated`` holds the names
    of the data centres that take no requests for now.

    After the store came back from an older copy, the stored objects are those of the
    copy, while what is in effect changes only by what is written from then on. The two
    are compared once the operators and the servers had time to write again.

    :param decoders: decode stored objects.
    :param on_change: called with every change.
    :param reregistration_deadline: returns until when a server whose registration is
        removed at a time stays in use, or None if it is gone. Times are in seconds on
        the event loop's clock.
    """

    def __init__(
        self,
        decoders: Decoders,
        on_change: Callable[[ViewChange], None],
        reregistration_deadline: Callable[[float], float | None] = lambda now: None,
    ) -> None:
        self._decoders = decoders
        self._on_change = on_change
        self._reregistration_deadline = reregistration_deadline
        self._stored_objects: dict[Topic, dict[str, Any]] = {
            topic: {} for topic in Topic
        }
        self._deltas: dict[Topic, deque[ViewDelta]] = {
            topic: deque(maxlen=MAX_KEPT_VIEW_DELTAS) for topic in Topic
        }
        self.revisions: dict[Topic, int] = dict.fromkeys(Topic, 0)
        self._restores = RestoreTimes()
        self.configuration: Configuration | None = None
        self.evacuated: frozenset[str] = frozenset()
        self.servers = ServerTable()
        self.generation = 0
        self.staleness = TopicStaleness()
        self._behind_s = 0.0

    def snapshot(self, topic: Topic) -> tuple[int, Mapping[str, Any]]:
        """Return a topic's revision and its stored objects by name."""
        return self.revisions[topic], self._stored_objects[topic]

    def edits_since(self, topic: Topic, revision: int) -> list[Edit] | None:
        """Return the changes after a revision in order, to replicate them.

        :returns: the changes, or None if the revision is older than the kept deltas, or
            lies between two lists of which only the difference is kept.
        """
        later = [delta for delta in self._deltas[topic] if delta.to_revision > revision]
        if not later or later[0].from_revision > revision:
            return None
        if later[0].is_difference and later[0].from_revision < revision:
            return None
        return [edit for delta in later for edit in delta.edits]

    def replace(
        self,
        topic: Topic,
        revision: int,
        specs: Mapping[str, Any],
        source: str,
        now: float,
    ) -> bool:
        """Replace all objects of a topic, unless the revision is not newer.

        :param revision: revision of the objects.
        :param specs: all stored objects of the topic by name.
        :param source: ``store``, or the name of the host that sent them.
        :param now: seconds on the event loop's clock.
        :returns: whether they were applied.
        """
        known_revision = self.revisions[topic]
        if revision < known_revision or (
            revision == known_revision and known_revision > 0
        ):
            return False
        self._behind_s = self.staleness.record_applied(topic, revision, now)
        if known_revision and era_of(revision) != era_of(known_revision):
            self._take_copy(topic, revision, specs, source, now)
            return True
        stored = self._stored_objects[topic]
        removed = [name for name in stored if name not in specs]
        written = {
            name: spec for name, spec in specs.items() if stored.get(name) != spec
        }
        is_first = known_revision == 0
        edits = [*((name, None) for name in removed), *written.items()]
        self._advance_revision(topic, revision, edits, is_difference=True)
        if is_first or removed or written:
            self._stored_objects[topic] = dict(specs)
            self._apply_changes(topic, written, removed, source, now)
        return True

    def apply(
        self,
        topic: Topic,
        revision: int,
        changes: Iterable[tuple[str, Any]],
        source: str,
        now: float,
    ) -> bool:
        """Apply changes of a topic in order, unless the revision is not newer.

        :param revision: revision of the topic after the changes.
        :param changes: name and new content of each changed object, without content
            (None) if it was removed.
        :param source: ``store``, or the name of the host that sent them.
        :param now: seconds on the event loop's clock.
        :returns: whether they were applied.
        """
        known_revision = self.revisions[topic]
        if revision <= known_revision:
            return False
        if known_revision and era_of(revision) != era_of(known_revision):
            # Changes of another era do not start from what this host has.
            return False
        self._behind_s = self.staleness.record_applied(topic, revision, now)
        changes = list(changes)
        self._advance_revision(topic, revision, changes)
        stored = self._stored_objects[topic]
        written: dict[str, Any] = {}
        removed: dict[str, None] = {}
        for name, spec in changes:
            if spec is None:
                stored.pop(name, None)
                written.pop(name, None)
                removed[name] = None
            else:
                stored[name] = spec
                written[name] = spec
                removed.pop(name, None)
        if written or removed:
            self._apply_changes(topic, written, list(removed), source, now)
        return True

    def _take_copy(
        self,
        topic: Topic,
        revision: int,
        specs: Mapping[str, Any],
        source: str,
        now: float,
    ) -> None:
        """Take the objects of a store that came back from an older copy.

        Of the configuration, a newer version is in force at once and an older one is
        ignored. Evacuations and servers stay as they are until :meth:`settle`.
        """
        self.revisions[topic] = revision
        self._deltas[topic].clear()
        self._stored_objects[topic] = dict(specs)
        self._report_change(topic, source, "the store came back from an older copy")
        if topic is Topic.CONFIGURATION:
            self._apply_configuration(specs, source)
            self.generation += 1
            return
        self._restores.begin(topic, now)

    def settle(self, now: float) -> None:
        """Put in effect what the store holds, a while after it came back from a copy.

        :param now: seconds on the event loop's clock.
        """
        for topic in self._restores.due_for_comparison(now):
            self._adopt_stored(topic, now)
        for topic in self._restores.due_for_adoption(now):
            if topic is Topic.SERVERS:
                # The store would have removed them again if they were gone.
                self.servers.forget_removed()
                self._adopt_stored(topic, now)

    def _adopt_stored(self, topic: Topic, now: float) -> None:
        self.generation += 1
        stored = self._stored_objects[topic]
        if topic is Topic.EVACUATIONS:
            self._set_evacuated(frozenset(stored), OWN_SOURCE, now)
            return
        written = {
            name: spec for name, spec in stored.items() if self._is_new(name, spec)
        }
        missing = [name for name in self.servers.ids() if name not in stored]
        for name in missing:
            self.servers.discard(name)
        if written or missing:
            self._apply_servers(written, [], OWN_SOURCE, now)

    def _is_new(self, name: str, spec: Any) -> bool:
        """Return whether a stored server differs from the known one, and is newer."""
        try:
            server = self._decoders.server(name, spec)
        except DamasktallyError:
            return False
        record = self.servers.get(name)
        if record is not None and record.server == server:
            return False
        return not self.servers.would_regress(server)

    def _advance_revision(
        self,
        topic: Topic,
        revision: int,
        edits: Sequence[Edit],
        is_difference: bool = False,
    ) -> None:
        previous = self.revisions[topic]
        self.revisions[topic] = revision
        if previous:
            delta = ViewDelta(previous, revision, tuple(edits), is_difference)
            self._deltas[topic].append(delta)

    def remove_expired_servers(self, now: float) -> None:
        """Remove the servers that did not register again after an outage.

        :param now: seconds on the event loop's clock.
        """
        expired = self.servers.remove_expired(now)
        if expired:
            self.generation += 1
            self._report_change(
                Topic.SERVERS, OWN_SOURCE, f"not registered again: {', '.join(expired)}"
            )

    def drop_server(self, server: Server, now: float) -> None:
        """Remove a server for a while since another process responds at its address.

        :param server: the server as it was when the request was sent.
        :param now: seconds on the event loop's clock.
        """
        if not self.servers.drop(server, now):
            return
        self.generation += 1
        self._report_change(
            Topic.SERVERS, OWN_SOURCE, f"replaced at its address: {server.id}"
        )

    def return_dropped_servers(self, now: float) -> None:
        """Use dropped servers again that are still registered.

        A registration that does not change is not delivered again, so that a server
        which was dropped by mistake would stay out of use.

        :param now: seconds on the event loop's clock.
        """
        stored = self._stored_objects[Topic.SERVERS]
        written = {
            name: stored[name]
            for name in self.servers.take_returning(now)
            if name in stored and self._is_new(name, stored[name])
        }
        if written:
            self._apply_changes(Topic.SERVERS, written, [], OWN_SOURCE, now)

    def mark_leaving(
        self, server: str, started_ms: int, source: str, now: float
    ) -> None:
        """Send no more requests to a process of a server that said that it leaves.

        :param server: its id.
        :param started_ms: Unix time of the start of the process in milliseconds.
        :param source: ``self``, or the name of the host that was told.
        :param now: seconds on the event loop's clock.
        """
        if self.servers.mark_leaving(server, started_ms, now):
            self.generation += 1
            self._report_change(Topic.SERVERS, source, f"says that it leaves: {server}")

    def _apply_changes(
        self,
        topic: Topic,
        written: Mapping[str, Any],
        removed: list[str],
        source: str,
        now: float,
    ) -> None:
        self.generation += 1
        if topic is Topic.CONFIGURATION:
            self._apply_configuration(written, source)
        elif topic is Topic.EVACUATIONS:
            self._apply_evacuations(written, removed, source, now)
        else:
            self._apply_servers(written, removed, source, now)

    def _apply_configuration(self, written: Mapping[str, Any], source: str) -> None:
        spec = written.get(self._decoders.configuration_name)
        if spec is None:
            return
        try:
            cfg = self._decoders.configuration(spec)
        except DamasktallyError as exc:
            self._report_change(
                Topic.CONFIGURATION, source, f"kept the version before: {exc}"
            )
            return
        if self.configuration is not None and cfg.version <= self.configuration.version:
            return
        detail = describe_change(self.configuration, cfg)
        self.configuration = cfg
        self._report_change(Topic.CONFIGURATION, source, detail)

    def _apply_evacuations(
        self, written: Mapping[str, Any], removed: list[str], source: str, now: float
    ) -> None:
        evacuated = frozenset(self._stored_objects[Topic.EVACUATIONS])
        if self._restores.is_uncompared(Topic.EVACUATIONS):
            evacuated = self.evacuated.union(written).difference(removed)
        self._set_evacuated(evacuated, source, now)

    def _set_evacuated(
        self, evacuated: frozenset[str], source: str, now: float
    ) -> None:
        ended = self.evacuated - evacuated
        self.evacuated = evacuated
        for server in self.servers.usable():
            if server.data_centre in ended:
                # Its caches may be cold, since it received no requests.
                self.servers.extend_warm_up(server.id, now + self._warmup_s(server))
        names = ", ".join(sorted(evacuated)) or "none"
        self._report_change(Topic.EVACUATIONS, source, f"evacuated: {names}")

    def _warmup_s(self, server: Server) -> float:
        cfg = self.configuration
        service = cfg.services.get(server.service) if cfg else None
        return service.warmup_s if service else 0.0

    def _apply_servers(
        self, written: Mapping[str, Any], removed: list[str], source: str, now: float
    ) -> None:
        descriptions = []
        unreadable = []
        for name, spec in written.items():
            try:
                server = self._decoders.server(name, spec)
            except DamasktallyError as exc:
                unreadable.append(name)
                descriptions.append(f"unreadable {name}: {exc.message}")
                continue
            self.servers.put(server, now)
            descriptions.append(
                f"{name} {'leaving' if server.is_draining else 'ready'}"
            )
        self.servers.remove(unreadable, now)
        self.servers.remove(removed, now, self._keep_until(now) if removed else None)
        descriptions += [self._describe_removal(name, now) for name in removed]
        self._report_change(
            Topic.SERVERS, source, "; ".join(descriptions[:MAX_LOGGED_SERVERS])
        )

    def _keep_until(self, now: float) -> float | None:
        """Return until when servers without a registration stay in use, if at all.

        The store that came back from a copy may remove registrations that were renewed
        after the copy was made.
        """
        deadlines = [
            self._reregistration_deadline(now),
            self._restores.compare_at(Topic.SERVERS),
        ]
        return max((item for item in deadlines if item is not None), default=None)

    def _describe_removal(self, server: str, now: float) -> str:
        record = self.servers.get(server)
        if record is None or record.remove_at is None:
            return f"{server} removed"
        return f"{server} removed, in use for {record.remove_at - now:.2f} s more"

    def _report_change(self, topic: Topic, source: str, detail: str) -> None:
        version = self.configuration.version if self.configuration else 0
        behind_s = 0.0 if source == OWN_SOURCE else self._behind_s
        self._on_change(
            ViewChange(topic, self.revisions[topic], source, detail, version, behind_s)
        )
