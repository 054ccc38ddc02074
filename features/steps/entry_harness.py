"""Test harness that runs an entry host against a stand-in store and stand-in servers.

All of them run in one process. The stand-ins implement the platform's protocol on their
own and import nothing of ``damasktally.platform``: an error of that adapter would
otherwise be on both sides and pass the tests.
"""

import json
from asyncio import (
    AbstractEventLoop,
    CancelledError,
    Event,
    StreamReader,
    StreamWriter,
    all_tasks,
    current_task,
    gather,
    new_event_loop,
    open_connection,
    run_coroutine_threadsafe,
    set_event_loop,
    sleep,
    start_server,
    wait_for,
)
from collections.abc import Awaitable, Callable
from contextlib import suppress
from copy import deepcopy
from dataclasses import dataclass, field
from threading import Thread
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

CALL_TIMEOUT_S = 20.0
BOUNDS = {
    "Grace": "2s",
    "ttl_max": "5s",
    "RetryRatio": 0.2,
    "RetryWindow": "10s",
    "RetrySlack": 60,
    "QuotaSlack": 20,
    "QuotaOverage": 0.1,
    "QuotaWindow": "5s",
}


class LoopThread:
    """Run an event loop in a background thread."""

    def __init__(self) -> None:
        self.loop: AbstractEventLoop = new_event_loop()
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        set_event_loop(self.loop)
        self.loop.run_forever()

    def run(self, coro: Any, timeout_s: float = CALL_TIMEOUT_S) -> Any:
        """Run a coroutine on the loop and return its result."""
        return run_coroutine_threadsafe(coro, self.loop).result(timeout_s)

    async def _cancel_all(self) -> None:
        tasks = all_tasks() - {current_task()}
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)

    def close(self) -> None:
        """Cancel all tasks and stop the loop."""
        self.run(self._cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(CALL_TIMEOUT_S)


async def read_head(reader: StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read the first line and the headers of a message.

    :returns: the line, and the headers by lower-case name; ``None`` when the connection
        ended.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (EOFError, OSError):
        return None
    lines = head.decode().split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if line)
    return lines[0], {key.strip().lower(): value.strip() for key, value in pairs}


async def read_body(reader: StreamReader, headers: dict[str, str]) -> bytes:
    """Read as many bytes as ``Content-Length`` announces."""
    return await reader.readexactly(int(headers.get("content-length", "0")))


def ignore_disconnects(serve: Callable) -> Callable:
    """Wrap a connection handler to suppress errors from connections that are closed."""

    async def run(reader: StreamReader, writer: StreamWriter) -> None:
        with suppress(CancelledError, ConnectionError):
            await serve(reader, writer)

    return run


class StandInStore:
    """Stand-in for the platform's object store that can be made to fail.

    If ``refusal_status`` is not 0, every answer has it. ``is_silent`` suppresses
    all answers; ``lose_answers`` closes the connection instead of answering a write.
    ``delay_by_kind`` delays answers to calls of some kinds, in seconds, and
    ``answer_delay_s`` those to each ``delayed_every``-th call of all.
    ``page_size`` is the largest number of objects in a page of a list, and
    ``writes_between_pages`` are done once when a list is to be continued.
    ``raw_values`` holds bytes that replace some texts of what objects contain.
    ``silent_kinds`` are those whose waiting watches get no answer. It listens on
    several ports if :meth:`listen` is called, and can turn the callers of some away.
    ``era`` is in the header ``Store-Era`` of all answers unless it is ``None``.
    """

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[str, dict]] = []
        self.revision = 1
        self.era: int | str | None = None
        self.oldest_revision = 0
        self.refusal_status = 0
        self.is_silent = False
        self.lose_answers = False
        self.delay_by_kind: dict[str, float] = {}
        self.answer_delay_s = 0.0
        self.delayed_every = 1
        self.silent_kinds: set[str] = set()
        self.raw_values: dict[str, bytes] = {}
        self.page_size = 500
        self.writes_between_pages: list[tuple[str, str, Any]] = []
        self._watched_kinds: dict[StreamWriter, str] = {}
        self._open_writers: set[StreamWriter] = set()
        self._muted: set[StreamWriter] = set()
        self.calls: list[str] = []
        self._changed = Event()
        self._turned_away: dict[int, str] = {}
        self._servers: list[Any] = []
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self.port = await self.listen()

    async def listen(self) -> int:
        """Listen on one more port, and return it."""
        server = await start_server(ignore_disconnects(self._serve), "127.0.0.1", 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def turn_away(self, ports: set[int], conduct: str) -> None:
        """Turn away all callers of some ports, also those that wait now.

        :param conduct: ``resets``, ``refuses`` (with status 503) or ``ignores``.
        """
        self._turned_away = dict.fromkeys(ports, conduct)
        for writer in list(self._open_writers):
            if local_port(writer) not in ports:
                continue
            if conduct == "ignores":
                self._muted.add(writer)
            else:
                writer.transport.abort()

    async def write(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, or delete it when the spec is ``None``."""
        self.revision += 1
        metadata = {"Name": name, "Rev": self.revision}
        obj = {"Metadata": metadata, "Spec": spec, "Status": None}
        objects = self.objects.setdefault(kind, {})
        if spec is None:
            objects.pop(name, None)
        else:
            objects[name] = obj
        self.events.append((kind, {"Tombstone": spec is None, "Object": obj}))
        self._changed.set()
        self._changed = Event()

    def stop_answering(self) -> None:
        """Stop answering; connections that are open now stay unanswered for good."""
        self.is_silent = True
        self._muted |= self._open_writers

    def silence_watches(self, kind: str) -> None:
        """Never answer the watches of a kind that wait now; new ones are answered."""
        self._muted |= {
            writer for writer, name in self._watched_kinds.items() if name == kind
        }

    def make_copy(self) -> "StoreCopy":
        """Return a copy of what the store holds now."""
        return StoreCopy(deepcopy(self.objects), list(self.events), self.revision)

    async def restore(self, copy: "StoreCopy") -> None:
        """Come back from a copy: what was written since is lost, the era rises."""
        for writer in list(self._open_writers):
            writer.transport.abort()
        self.objects = deepcopy(copy.objects)
        self.events = list(copy.events)
        self.revision = copy.revision
        self.era += 1
        self._changed.set()
        self._changed = Event()

    async def compact(self) -> None:
        """Discard the event history and end all waiting watches, as with status 410."""
        self.oldest_revision = self.revision
        self._changed.set()
        self._changed = Event()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self._open_writers.add(writer)
        while (head := await read_head(reader)) is not None:
            line, headers = head
            body = await read_body(reader, headers)
            method, target, _ = line.split(" ")
            self.calls.append(f"{method} {target}")
            conduct = self._turned_away.get(local_port(writer), "")
            if conduct == "resets":
                writer.transport.abort()
                return
            if conduct == "ignores":
                self._muted.add(writer)
                continue
            kind = waiting_watch_kind(target)
            self._watched_kinds[writer] = kind
            status, content = await self._answer(method, target, body)
            del self._watched_kinds[writer]
            if self.answer_delay_s and len(self.calls) % self.delayed_every == 0:
                await sleep(self.answer_delay_s)
            if conduct == "refuses":
                status, content = 503, {}
            if kind in self.silent_kinds:
                self._muted.add(writer)
            if self.is_silent or writer in self._muted:
                self._muted.add(writer)
                continue
            if self.lose_answers and method != "GET":
                writer.transport.abort()
                return
            data = json.dumps(content).encode()
            for text, raw in self.raw_values.items():
                data = data.replace(json.dumps(text).encode(), raw)
            era = b"" if self.era is None else f"Store-Era: {self.era}\r\n".encode()
            writer.write(
                b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n"
                % (status, era, len(data))
                + data
            )
            await writer.drain()
        self._open_writers.discard(writer)
        writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        if self.refusal_status:
            return self.refusal_status, {}
        url = urlsplit(target)
        parts = [unquote(part) for part in url.path.split("/")[2:]]
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        await sleep(self.delay_by_kind.get(parts[0], 0.0))
        objects = self.objects.setdefault(parts[0], {})
        if method == "POST":
            return await self._create(parts[0], json.loads(body))
        if method == "PUT":
            await self.write(parts[0], parts[1], json.loads(body)["Spec"])
            return 200, objects[parts[1]]
        if method == "DELETE":
            if parts[1] not in objects:
                return 404, {}
            await self.write(parts[0], parts[1], None)
            return 200, {}
        if "Watch" in query:
            return await self._watch(parts[0], query)
        names = [name for name in sorted(objects) if name > query.get("after", "")]
        page = names[: self.page_size]
        content = {
            "items": [objects[name] for name in page],
            "More": len(names) > len(page),
            "StoreRevision": self.revision,
        }
        if content["More"]:
            for kind, name, spec in self.writes_between_pages:
                await self.write(kind, name, spec)
            self.writes_between_pages = []
        return 200, content

    async def _create(self, kind: str, obj: dict) -> tuple[int, Any]:
        name = obj["Metadata"]["Name"]
        if name in self.objects.setdefault(kind, {}):
            return 409, self.objects[kind][name]
        await self.write(kind, name, obj["Spec"])
        return 200, self.objects[kind][name]

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["Watch"])
        if after > self.revision:
            return 410, {}
        timeout_s = int(query["WaitMs"]) / 1000
        is_over = False
        while True:
            if self.refusal_status:
                return self.refusal_status, {}
            if after < self.oldest_revision:
                return 410, {}
            found = [
                event
                for name, event in self.events
                if name == kind and event["Object"]["Metadata"]["Rev"] > after
            ]
            if found or is_over:
                return 200, {"events": found, "StoreRevision": self.revision}
            try:
                await wait_for(self._changed.wait(), timeout_s)
            except TimeoutError:
                # A write may have come as the wait ended; its event goes with it.
                is_over = True


def local_port(writer: StreamWriter) -> int:
    """Return the port on which a connection was accepted."""
    return writer.get_extra_info("sockname")[1]


MIN_LONG_WAIT_MS = 1000
"""Shortest wait of a watch that counts as waiting for the next change."""


def waiting_watch_kind(target: str) -> str:
    """Return the kind whose next change a call waits for, or an empty text."""
    url = urlsplit(target)
    wait_ms = int(parse_qs(url.query).get("WaitMs", ["0"])[0])
    return url.path.split("/")[2] if wait_ms >= MIN_LONG_WAIT_MS else ""


@dataclass
class StoreCopy:
    """Copy of what the stand-in store held at a moment."""

    objects: dict[str, dict[str, dict]]
    events: list[tuple[str, dict]]
    revision: int


@dataclass
class ReceivedRequest:
    """A request that a server received."""

    line: str
    headers: dict[str, str]
    body: bytes


@dataclass
class StandInServer:
    """Stand-in for a backend server.

    ``respond`` returns the bytes to send for a request, or ``None`` to close the
    connection; without it, each request gets the default answer. ``converse`` instead
    takes the connection once it has the head of a request, and returns whether the
    connection may carry another one. ``early_disconnects``
    counts connections that were closed while the server worked on a request.
    """

    id: str
    service: str = "svc"
    zone: str = "dc-1"
    slots: int = 4
    respond: Callable[[ReceivedRequest], bytes | None] | None = None
    converse: Callable[..., Awaitable[bool]] | None = None
    delay_s: float = 0.0
    received: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    early_disconnects: int = 0
    resets: int = 0
    port: int = 0
    server: Any = None
    open_writers: set = field(default_factory=set)

    async def start(self, port: int = 0) -> None:
        """Listen, on a free port unless one is given."""
        self.server = await start_server(
            ignore_disconnects(self._serve), "127.0.0.1", port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """End as a process does: refuse connections and reset the open ones."""
        self.server.close()
        for writer in list(self.open_writers):
            writer.transport.abort()

    def registration(
        self, state: str = "ready", cold_left: str = "0ms", started: int = 1
    ) -> dict:
        """Return the entry that the server writes into the store."""
        return {
            "Addr": f"127.0.0.1:{self.port}",
            "born": started,
            "Info": {
                "Service": self.service,
                "Version": "v1",
                "Zone": self.zone,
                "Slots": self.slots,
            },
            "Status": {"State": state, "Seq": 1, "ColdLeft": cold_left},
        }

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        if not self.server.is_serving():
            # The connection was accepted just before the end.
            writer.transport.abort()
            return
        self.connections += 1
        self.open_writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                if self.converse is not None:
                    self.received.append(ReceivedRequest(head[0], head[1], b""))
                    if await self.converse(self.received[-1], reader, writer):
                        continue
                    return
                request = ReceivedRequest(
                    head[0], head[1], await read_body(reader, head[1])
                )
                self.received.append(request)
                delay_s = self.delay_for(request)
                if delay_s and not await self._wait(reader, delay_s):
                    return
                data = (self.respond or self.default_answer)(request)
                if data is None:
                    writer.transport.abort()
                    return
                writer.write(data)
                await writer.drain()
                if data.endswith(CLOSE_MARKER):
                    return
        finally:
            self.open_writers.discard(writer)
            writer.close()

    def delay_for(self, request: ReceivedRequest) -> float:
        """Return the seconds that a request takes."""
        return self.delay_s

    async def _wait(self, reader: StreamReader, delay_s: float) -> bool:
        """Wait for the delay; return whether the connection stayed open."""
        try:
            await wait_for(reader.read(1), delay_s)
        except TimeoutError:
            return True
        except ConnectionError:
            self.resets += 1
        self.early_disconnects += 1
        return False

    def default_answer(self, request: ReceivedRequest) -> bytes:
        """Return an answer with status 200 and the server's id as its body."""
        return make_answer(request.headers["request-id"], body=self.id)


CLOSE_MARKER = b"!"
"""The server closes the connection after an answer that ends with this byte."""


def make_answer(
    request_id: str,
    status: int = 200,
    body: str = "",
    extra: str = "",
    length: int | None = None,
) -> bytes:
    """Return the bytes of a server's answer.

    :param extra: more header lines, each with its line end.
    :param length: the announced length, unless it is the body's.
    """
    size = len(body) if length is None else length
    return (
        f"HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\nServer-Stamp: s.{body}\r\n"
        f"{extra}Content-Length: {size}\r\n\r\n{body}"
    ).encode()


def make_route(name: str, prefix: str, kind: str = "idempotent", **fields: Any) -> dict:
    """Return a route as it stands in the platform's configuration object."""
    return {
        "Name": name,
        "PathPrefix": prefix,
        "Kind": kind,
        "Timeout": "1000ms",
        "TargetLatency": "250ms",
        "Prio": 1,
        "Service": "svc",
        "MaxAttempts": 2,
        "Public": False,
        "Sticky": True,
        "HomeRegions": [],
        **fields,
    }


def make_configuration(version: int, routes: list[dict], **fields: Any) -> dict:
    """Return the spec of a configuration object of the platform."""
    service = {"HealthPath": "/healthz", "MaxConns": 390, "Cold": "3s", "ColdPerS": 9.2}
    return {
        "Version": f"r{version}",
        "Services": [{"Name": "svc", **service}, {"Name": "other", **service}],
        "Limits": {
            "MaxHeaderBytes": 4096,
            "MaxBodyBytes": 100_000,
            "HeaderTimeout": "500ms",
            "IdleTimeout": "2000ms",
        },
        "Tenants": [
            {"Name": "acme", "ApiKeys": ["k-1", "k-2"], "RatePerS": 0, "Burst": 0}
        ],
        "Vhosts": [{"Host": "shop.example", "Paths": routes}],
        **fields,
    }


DEFAULT_ROUTES = [
    make_route("read", "/read/"),
    make_route("pay", "/pay/", "non_idempotent"),
    make_route("send", "/send/", "upload"),
    make_route("open", "/open/", Public=True),
]


@dataclass
class CallerAnswer:
    """The answer that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes


async def send_request(
    port: int,
    path: str,
    method: str = "GET",
    key: str | None = "k-1",
    request_id: str = "r-1",
    body: bytes = b"",
    deadline_ms: int = 2000,
    extra: str = "",
    object_key: str = "7",
) -> CallerAnswer:
    """Send a request on a new connection and return its answer."""
    reader, writer = await open_connection("127.0.0.1", port)
    key_line = f"Key: {key}\r\n" if key else ""
    writer.write(
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"Request-Id: {request_id}\r\nAffinity-Key: {object_key}\r\n"
        f"Deadline-Ms: {deadline_ms}\r\n{key_line}{extra}"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    try:
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader: StreamReader) -> CallerAnswer:
    """Read one answer; fail when the connection ends before it."""
    head = await read_head(reader)
    assert head is not None, "the connection ended without an answer"
    line, headers = head
    return CallerAnswer(
        int(line.split(" ")[1]), headers, await read_body(reader, headers)
    )


async def wait_until(check: Callable[[], bool], limit_s: float = 5.0) -> None:
    """Wait until a condition holds; fail when it does not in time."""
    for _ in range(int(limit_s / 0.02)):
        if check():
            return
        await sleep(0.02)
    raise AssertionError(f"the condition did not hold within {limit_s} s")
