"""Call the platform's store over HTTP.

One client serves all purposes. Each call names its purpose for the metrics, since
the platform charges for calls.
"""

from asyncio import Future, timeout
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import msgspec

from damasktally.errors import DamasktallyError
from damasktally.http1.messages import Response, encode_request
from damasktally.http1.outbound import (
    AnswerLost,
    ConnectFailed,
    ServerConnection,
    connect,
)

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
EVACUATIONS_KIND = "evacuations"
SERVERS_KIND = "servers"
MEMBERS_KIND = "damasktally-hosts"

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 1.0
WATCH_TIMEOUT_MARGIN_S = 1.0


class StoreUnavailable(DamasktallyError):
    """Tell that the store did not answer, or refused to."""


class HistoryGone(DamasktallyError):
    """Tell that a watch's revision is too old, so that a list is needed."""


@dataclass(frozen=True, slots=True)
class Listing:
    """Hold all objects of a kind, by name, as of a revision."""

    revision: int
    specs: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Change:
    """Tell that an object was written, or removed when there is no ``spec``."""

    name: str
    spec: Any


@dataclass(frozen=True, slots=True)
class Changes:
    """Hold what changed up to a revision, in order."""

    revision: int
    changes: tuple[Change, ...]


class WireMetadata(msgspec.Struct):
    """What the store keeps about an object; ``Rev`` is its last change."""

    Name: str
    Rev: int = 0


class WireObject(msgspec.Struct):
    """One object."""

    Metadata: WireMetadata
    Spec: Any = None


class WireListing(msgspec.Struct):
    """A page of a list. ``More`` asks to continue after the last name."""

    StoreRevision: int
    items: list[WireObject]
    More: bool = False


class WireEvent(msgspec.Struct):
    """One change. ``Tombstone`` marks a removal."""

    Object: WireObject
    Tombstone: bool = False


class WireEvents(msgspec.Struct):
    """The answer to a watch."""

    StoreRevision: int
    events: list[WireEvent]


class StoreClient:
    """Reach the store.

    :param address: host and port.
    :param count_call: called with the purpose of each call that is made.
    """

    def __init__(
        self, address: tuple[str, int], count_call: Callable[[str], None]
    ) -> None:
        self._address = address
        self._count_call = count_call
        self._idle_connections: list[ServerConnection] = []

    async def list_objects(self, kind: str) -> Listing:
        """Read all objects of a kind.

        :raises StoreUnavailable: when the store does not answer.
        """
        specs: dict[str, Any] = {}
        path = f"/objects/{kind}"
        while True:
            response = await self._call("GET", path, None, "list", CALL_TIMEOUT_S)
            page = _decode(response, WireListing)
            specs.update({item.Metadata.Name: item.Spec for item in page.items})
            if not page.More or not page.items:
                return Listing(page.StoreRevision, specs)
            last = quote(page.items[-1].Metadata.Name, safe="")
            path = f"/objects/{kind}?after={last}"

    async def probe(self) -> int:
        """Return a revision that the store has reached, perhaps seconds ago.

        It may be answered from a copy, which costs a tenth of an exact call.

        :raises StoreUnavailable: when the store does not answer.
        """
        path = f"/objects/{EVACUATIONS_KIND}?AllowStale=1"
        response = await self._call("GET", path, None, "probe", PROBE_TIMEOUT_S)
        return _decode(response, WireListing).StoreRevision

    async def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Wait for changes of a kind after a revision.

        :raises HistoryGone: when the revision is too old.
        :raises StoreUnavailable: when the store does not answer.
        """
        path = f"/objects/{kind}?Watch={revision}&WaitMs={int(wait_s * 1000)}"
        limit_s = wait_s + WATCH_TIMEOUT_MARGIN_S
        page = _decode(
            await self._call("GET", path, None, "watch", limit_s), WireEvents
        )
        changes = tuple(
            Change(
                item.Object.Metadata.Name, None if item.Tombstone else _event_spec(item)
            )
            for item in page.events
        )
        return Changes(page.StoreRevision, changes)

    async def create(self, kind: str, name: str, spec: Any) -> Any:
        """Create an object.

        :returns: the spec that is stored, which is another's if it existed already.
        :raises StoreUnavailable: when the store does not answer.
        """
        body = {"Metadata": {"Name": name}, "Spec": spec}
        response = await self._call(
            "POST", f"/objects/{kind}", body, "create", CALL_TIMEOUT_S, (200, 201, 409)
        )
        return _decode(response, WireObject).Spec

    async def replace(self, kind: str, name: str, spec: Any) -> None:
        """Replace an object whatever its revision is.

        :raises StoreUnavailable: when the store does not answer.
        """
        body = {"Metadata": {"Name": name}, "Spec": spec}
        path = f"/objects/{kind}/{quote(name, safe='')}"
        await self._call("PUT", path, body, "replace", CALL_TIMEOUT_S)

    async def _call(
        self,
        method: str,
        path: str,
        body: Any,
        purpose: str,
        timeout_s: float,
        accepted: tuple[int, ...] = (200,),
    ) -> Response:
        self._count_call(purpose)
        payload = b"" if body is None else msgspec.json.encode(body)
        host, port = self._address
        headers = [(b"host", f"{host}:{port}".encode())]
        if payload:
            headers.append((b"content-type", b"application/json"))
        data = encode_request(method.encode(), path.encode(), headers, payload)
        response = await self._exchange(data, timeout_s)
        if response.status == 410:
            raise HistoryGone(
                "The store dropped this history.", "List the objects again."
            )
        if response.status not in accepted:
            raise StoreUnavailable(
                f"The store answered {response.status}.", "Try again later."
            )
        return response

    async def _exchange(self, data: bytes, timeout_s: float) -> Response:
        conn = await self._acquire_connection()
        pending = conn.send(data, _accept_any_response)
        try:
            response = await _wait_for_response(pending, timeout_s)
        except (AnswerLost, TimeoutError) as exc:
            conn.close()
            raise StoreUnavailable(
                f"The store gave no answer ({type(exc).__name__}).", "Try again later."
            ) from exc
        except BaseException:
            conn.close()
            raise
        if conn.can_send:
            self._idle_connections.append(conn)
        return response

    async def _acquire_connection(self) -> ServerConnection:
        while self._idle_connections:
            conn = self._idle_connections.pop()
            if conn.can_send:
                return conn
        try:
            return await connect(self._address, CONNECT_TIMEOUT_S)
        except ConnectFailed as exc:
            raise StoreUnavailable(
                "The store cannot be reached.", "Check the network to it."
            ) from exc

    def close_idle_connections(self) -> None:
        """Close the kept connections, as after a suspension of the host."""
        while self._idle_connections:
            self._idle_connections.pop().close()


def _accept_any_response(response: Response) -> bool:
    return True


def _event_spec(event: WireEvent) -> Any:
    return event.Object.Spec if event.Object.Spec is not None else {}


async def _wait_for_response(pending: Future[Response], timeout_s: float) -> Response:
    async with timeout(timeout_s):
        return await pending


def _decode(response: Response, response_type: Any) -> Any:
    try:
        return msgspec.json.decode(response.body, type=response_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise StoreUnavailable(
            f"The store's answer cannot be read: {exc}.", "Try again later."
        ) from exc
