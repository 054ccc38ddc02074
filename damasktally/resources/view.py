"""Immutable snapshot of the desired state at one revision."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import TypeVar

from damasktally.errors import DamasktallyError
from damasktally.objects import ChangeEvent, StoredObject
from damasktally.resources.kinds import (
    ROSTER_NAME,
    BackendServer,
    Customer,
    DataCentre,
    Drain,
    Key,
    Link,
    Pool,
    Region,
    Roster,
    Route,
    Spec,
    SteeringPolicy,
    parse_spec,
)

Model = TypeVar("Model", bound=Spec)

DEFAULT_POLICY = SteeringPolicy()


@dataclass(frozen=True, slots=True)
class ViewObject:
    """Stored object with the spec that is in force.

    ``stored`` may be newer than ``spec``. When an invalid spec was written without the
    validation of ``apply``, the last valid one stays in force and ``problem`` holds
    the validation error.
    """

    stored: StoredObject
    spec: Spec
    problem: str = ""


@dataclass(frozen=True)
class View:
    """All objects of the configuration at one revision.

    :param revision: revision of the newest change that the view contains.
    :param objects: objects by kind and name.
    :param tombstones: revision of each deletion by kind and name, so that an older
        write that arrives later does not restore the object.
    """

    revision: int = 0
    objects: Mapping[str, Mapping[str, ViewObject]] = field(default_factory=dict)
    tombstones: Mapping[tuple[str, str], int] = field(default_factory=dict)

    def specs_by_name(self, model: type[Model]) -> dict[str, Model]:
        """Return the specs of a kind by name."""
        entries = self.objects.get(model.__name__, {})
        return {name: entry.spec for name, entry in entries.items()}

    @cached_property
    def regions(self) -> dict[str, Region]:
        """Return the regions by name."""
        return self.specs_by_name(Region)

    @cached_property
    def data_centres(self) -> dict[str, DataCentre]:
        """Return the data centres by name."""
        return self.specs_by_name(DataCentre)

    @cached_property
    def links(self) -> dict[tuple[str, str], Link]:
        """Return the links by source and target region."""
        return {
            (link.source, link.target): link
            for link in self.specs_by_name(Link).values()
        }

    @cached_property
    def pools(self) -> dict[str, Pool]:
        """Return the pools by name."""
        return self.specs_by_name(Pool)

    @cached_property
    def servers(self) -> dict[str, BackendServer]:
        """Return the backend servers by name."""
        return self.specs_by_name(BackendServer)

    @cached_property
    def servers_by_pool(self) -> dict[str, dict[str, BackendServer]]:
        """Return the backend servers by pool and name."""
        by_pool: dict[str, dict[str, BackendServer]] = {}
        for name, server in self.servers.items():
            by_pool.setdefault(server.pool, {})[name] = server
        return by_pool

    @cached_property
    def customers(self) -> dict[str, Customer]:
        """Return the customers by name."""
        return self.specs_by_name(Customer)

    @cached_property
    def keys_by_digest(self) -> dict[str, Key]:
        """Return the keys by the digest of their secret."""
        return {key.digest: key for key in self.specs_by_name(Key).values()}

    @cached_property
    def routes(self) -> list[tuple[str, Route]]:
        """Return each route with its name, longest prefix first."""
        routes = list(self.specs_by_name(Route).items())
        return sorted(routes, key=lambda item: len(item[1].prefix), reverse=True)

    @cached_property
    def policies(self) -> dict[str, SteeringPolicy]:
        """Return the steering policies by name."""
        return self.specs_by_name(SteeringPolicy)

    @cached_property
    def roster(self) -> Roster:
        """Return the roster, which is empty until the first host has joined."""
        return self.specs_by_name(Roster).get(ROSTER_NAME, Roster())

    @cached_property
    def drained_servers(self) -> frozenset[str]:
        """Return the names of the backend servers that get no new requests."""
        drains = self.specs_by_name(Drain).values()
        servers = {drain.server for drain in drains if drain.server}
        data_centres = {drain.data_centre for drain in drains if drain.data_centre}
        for name, server in self.servers.items():
            if server.data_centre in data_centres:
                servers.add(name)
        return frozenset(servers)

    @cached_property
    def drained_hosts(self) -> frozenset[str]:
        """Return the names of the entry hosts that look-ups must not return."""
        drains = self.specs_by_name(Drain).values()
        return frozenset(drain.host for drain in drains if drain.host)

    def policy(self, name: str) -> SteeringPolicy:
        """Return a steering policy, or the default one."""
        return self.policies.get(name, DEFAULT_POLICY)

    def problems(self) -> list[str]:
        """Return a message for each object whose stored spec is invalid."""
        return [
            entry.problem
            for entries in self.objects.values()
            for entry in entries.values()
            if entry.problem
        ]

    def stored_objects(self) -> list[StoredObject]:
        """Return all objects as stored, for a peer that needs the complete view."""
        return [
            entry.stored
            for entries in self.objects.values()
            for entry in entries.values()
        ]

    def apply(self, events: Iterable[ChangeEvent], revision: int = 0) -> "View":
        """Return the view after some changes; those it contains have no effect.

        :param events: changes in the order of their revisions.
        :param revision: a revision that the view reaches with these changes; 0 when
            only the changes themselves determine it.
        :returns: a view whose revision is not lower than this one's; this view itself
            if nothing changed.
        """
        objects = dict(self.objects)
        tombstones = dict(self.tombstones)
        copied: set[str] = set()
        newest = max(self.revision, revision)
        for event in events:
            obj = event.object
            if not self._is_newer(objects, tombstones, obj):
                continue
            if obj.kind not in copied:
                objects[obj.kind] = dict(objects.get(obj.kind, {}))
                copied.add(obj.kind)
            _apply_event(objects[obj.kind], tombstones, event)
            newest = max(newest, obj.revision)
        if newest == self.revision and not copied:
            return self
        return View(newest, objects, tombstones)

    def apply_snapshot(self, items: Iterable[StoredObject], revision: int) -> "View":
        """Return the view after a complete list, unless the list is older.

        Objects that are not in the list are treated as deleted at its revision.

        :param items: every object of the kinds of the view.
        :param revision: revision of the list.
        :returns: the new view; this view itself if the list is older.
        """
        if revision < self.revision:
            return self
        listed = list(items)
        names = {(obj.kind, obj.name) for obj in listed}
        events = [ChangeEvent(object=obj) for obj in listed]
        for kind, entries in self.objects.items():
            for name, entry in entries.items():
                if (kind, name) not in names:
                    deleted = entry.stored.model_copy(update={"revision": revision})
                    events.append(ChangeEvent(deleted=True, object=deleted))
        newest = max((obj.revision for obj in listed), default=0)
        return self.apply(events, max(newest, self.revision))

    @staticmethod
    def _is_newer(
        objects: Mapping[str, Mapping[str, ViewObject]],
        tombstones: Mapping[tuple[str, str], int],
        obj: StoredObject,
    ) -> bool:
        current = objects.get(obj.kind, {}).get(obj.name)
        if current is not None and current.stored.revision >= obj.revision:
            return False
        return tombstones.get((obj.kind, obj.name), -1) < obj.revision


def _apply_event(
    entries: dict[str, ViewObject],
    tombstones: dict[tuple[str, str], int],
    event: ChangeEvent,
) -> None:
    obj = event.object
    if event.deleted:
        entries.pop(obj.name, None)
        tombstones[obj.kind, obj.name] = obj.revision
        return
    try:
        entries[obj.name] = ViewObject(obj, parse_spec(obj))
    except DamasktallyError as exc:
        before = entries.get(obj.name)
        if before is not None:
            entries[obj.name] = ViewObject(obj, before.spec, exc.message)
