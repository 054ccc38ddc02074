"""Keep this host's view of desired state, which only moves forward."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from damasktally.errors import DamasktallyError
from damasktally.fleet.changes import describe_change
from damasktally.fleet.model import Configuration, Server
from damasktally.fleet.servers import ServerTable
from damasktally.fleet.topics import Topic


@dataclass(frozen=True, slots=True)
class Decoders:
    """Hold the functions that read stored objects.

    Each raises :class:`~damasktally.errors.DamasktallyError` for an object that
    cannot be read.
    """

    configuration: Callable[[Any], Configuration]
    server: Callable[[str, Any], Server]
    configuration_name: str


@dataclass(frozen=True, slots=True)
class ViewChange:
    """Describe a change of the view, for the log.

    :param source: ``store`` or the host that passed it on.
    """

    topic: Topic
    revision: int
    source: str
    detail: str


Edit = tuple[str, Any]
"""Name of an object, and what was written; nothing where it was removed."""


@dataclass(frozen=True, slots=True)
class ViewDelta:
    """Hold what changed between two revisions of a topic."""

    from_revision: int
    to_revision: int
    edits: tuple[Edit, ...]


class FleetView:
    """Hold configuration, evacuations and servers, each with its revision.

    ``confirmed_at`` is when the store or a peer confirmed any of them last.

    :param decoders: read stored objects.
    :param on_change: told about every change.
    """

    def __init__(
        self, decoders: Decoders, on_change: Callable[[ViewChange], None]
    ) -> None:
        self._decoders = decoders
        self._on_change = on_change
        self._stored_objects: dict[Topic, dict[str, Any]] = {
            topic: {} for topic in Topic
        }
        self._deltas: dict[Topic, deque[ViewDelta]] = {
            topic: deque(maxlen=MAX_KEPT_VIEW_DELTAS) for topic in Topic
        }
        self.revisions: dict[Topic, int] = dict.fromkeys(Topic, 0)
        self.configuration: Configuration | None = None
        self.evacuated: frozenset[str] = frozenset()
        self.servers = ServerTable()
        self.generation = 0
        self.confirmed_at = 0.0

    def snapshot(self, topic: Topic) -> tuple[int, Mapping[str, Any]]:
        """Return a topic's revision and stored objects, to pass them on."""
        return self.revisions[topic], self._stored_objects[topic]

    def edits_since(self, topic: Topic, revision: int) -> list[Edit] | None:
        """Return what changed after a revision, in order, to pass it on.

        :returns: nothing when it is not known any more.
        """
        later = [delta for delta in self._deltas[topic] if delta.to_revision > revision]
        if not later or later[0].from_revision > revision:
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
        """Take a whole topic, unless it is older than what is known.

        :returns: whether it was taken.
        """
        known_revision = self.revisions[topic]
        if revision < known_revision or (
            revision == known_revision and known_revision > 0
        ):
            return False
        stored = self._stored_objects[topic]
        removed = [name for name in stored if name not in specs]
        written = {
            name: spec for name, spec in specs.items() if stored.get(name) != spec
        }
        is_first = known_revision == 0
        edits = [*((name, None) for name in removed), *written.items()]
        self._advance_revision(topic, revision, edits)
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
        """Take changes in order; a change without a spec is a removal.

        :returns: whether they were newer than what is known.
        """
        if revision <= self.revisions[topic]:
            return False
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

    def _advance_revision(
        self, topic: Topic, revision: int, edits: Sequence[Edit]
    ) -> None:
        previous = self.revisions[topic]
        self.revisions[topic] = revision
        if previous:
            self._deltas[topic].append(ViewDelta(previous, revision, tuple(edits)))

    def remove_expired_servers(self, now: float) -> None:
        """Drop servers whose registration lapsed and did not come back."""
        expired = self.servers.remove_expired(now)
        if expired:
            self.generation += 1
            self._report_change(Topic.SERVERS, "self", f"gone: {', '.join(expired)}")

    def drop_server(self, server: str) -> None:
        """Drop a server whose address answers for another one."""
        self.servers.drop(server)
        self.generation += 1
        self._report_change(Topic.SERVERS, "self", f"replaced at its address: {server}")

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
            self._apply_evacuations(source, now)
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
                Topic.CONFIGURATION, source, f"kept the last one: {exc}"
            )
            return
        if self.configuration is not None and cfg.version <= self.configuration.version:
            return
        detail = describe_change(self.configuration, cfg)
        self.configuration = cfg
        self._report_change(Topic.CONFIGURATION, source, detail)

    def _apply_evacuations(self, source: str, now: float) -> None:
        evacuated = frozenset(self._stored_objects[Topic.EVACUATIONS])
        ended = self.evacuated - evacuated
        self.evacuated = evacuated
        for server in self.servers.usable():
            if server.data_centre in ended:
                # Servers of a data centre that was emptied may have become cold.
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
        self.servers.remove([*removed, *unreadable], now)
        descriptions += [f"{name} removed" for name in removed]
        self._report_change(
            Topic.SERVERS, source, "; ".join(descriptions[:MAX_LOGGED_SERVERS])
        )

    def _report_change(self, topic: Topic, source: str, detail: str) -> None:
        self._on_change(ViewChange(topic, self.revisions[topic], source, detail))


MAX_LOGGED_SERVERS = 20
"""Servers that one line of the log names."""
MAX_KEPT_VIEW_DELTAS = 64
"""Changes of a topic that are kept to be passed on."""
