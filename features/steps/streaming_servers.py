"""Conversations of stand-in servers that send large responses."""

from asyncio import Event, IncompleteReadError, StreamReader, StreamWriter, sleep
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

from damasktally.http1.socket_options import reset_on_close
from features.steps.entry_harness import ReceivedRequest

Converse = Callable[[ReceivedRequest, StreamReader, StreamWriter], Awaitable[bool]]


PART_BYTES = 64 * 1024
END_PAUSE_S = 0.05
"""Seconds from the end of a response to what follows on the connection."""


def body_of(size: int) -> bytes:
    """Return a body in which a part that is missing or repeated is noticed."""
    block = b"".join(b"%07d\n" % n for n in range(8191))
    return (block * (size // len(block) + 1))[:size]


def head_of(
    request: ReceivedRequest, length: int | None, status: int = 200, extra: str = ""
) -> bytes:
    """Return the head of a response.

    :param extra: more header lines, each with its line end.
    """
    line = "" if length is None else f"Content-Length: {length}\r\n"
    request_id = request.headers["request-id"]
    return (
        f"HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\nServer-Load: 0,0,4\r\n"
        f"X-Kept: yes\r\n{extra}{line}\r\n"
    ).encode()


@dataclass
class Conversations:
    """Create conversations, and record how far they got.

    ``sent_all`` counts the responses that a server could send completely, ``gone`` the
    connections that ended before. ``received_bytes`` are those of requests' bodies, and
    ``bodies`` those that arrived completely.
    """

    signal: Event = field(default_factory=Event)
    sent_all: int = 0
    gone: int = 0
    received_bytes: int = 0
    bodies: list[bytes] = field(default_factory=list)

    async def _send(self, writer: StreamWriter, data: bytes) -> None:
        writer.write(data)
        await writer.drain()

    def whole(self, size: int) -> Converse:
        """Send the whole body as fast as it is taken."""
        body = body_of(size)

        async def converse(request, reader, writer) -> bool:
            await self._send(writer, head_of(request, size))
            for start in range(0, size, PART_BYTES):
                await self._send(writer, body[start : start + PART_BYTES])
            self.sent_all += 1
            return True

        return converse

    def paused(self, first: int, size: int) -> Converse:
        """Send a part, and the rest after the signal."""

        async def converse(request, reader, writer) -> bool:
            body = body_of(size)
            await self._send(writer, head_of(request, size) + body[:first])
            while not self.signal.is_set():
                if reader.at_eof() or reader.exception() is not None:
                    self.gone += 1
                    return False
                await sleep(0.02)
            await self._send(writer, body[first:])
            self.sent_all += 1
            return True

        return converse

    def broken(self, first: int, size: int, fault: str) -> Converse:
        """Send a part and then fail."""

        async def converse(request, reader, writer) -> bool:
            await self._send(writer, head_of(request, size) + body_of(size)[:first])
            await self._break_off(writer, fault)
            return False

        return converse

    def cut(self, size: int, after_s: float) -> Converse:
        """Send as much as is taken within a time, then cut the connection."""

        async def converse(request, reader, writer) -> bool:
            writer.write(head_of(request, size) + body_of(size))
            await sleep(after_s)
            writer.transport.abort()
            return False

        return converse

    def slow(self, size: int, parts: int, pause_s: float) -> Converse:
        """Send the body in parts."""

        async def converse(request, reader, writer) -> bool:
            await self._send(writer, head_of(request, size))
            step = size // parts
            for start in range(0, size, step):
                await self._send(writer, body_of(size)[start : start + step])
                await sleep(pause_s)
            return True

        return converse

    def twice(self, size: int) -> Converse:
        """Send a second response right after the first one."""

        async def converse(request, reader, writer) -> bool:
            head = head_of(request, size)
            await self._send(writer, (head + body_of(size)) + head + b"x" * size)
            return True

        return converse

    def other_first(self, size: int) -> Converse:
        """Send a large response to another request, and then the right one."""

        async def converse(request, reader, writer) -> bool:
            other = ReceivedRequest("", {"request-id": "other"}, b"")
            await self._send(writer, head_of(other, size) + b"x" * size)
            await self._send(writer, head_of(request, size) + body_of(size))
            return False

        return converse

    def unknown(self, size: int, framing: str, fault: str = "") -> Converse:
        """Send a body of unknown length, complete or up to a fault."""

        async def converse(request, reader, writer) -> bool:
            is_chunked = framing == "in chunks"
            extra = "Transfer-Encoding: chunked\r\n" if is_chunked else ""
            await self._send(writer, head_of(request, None, extra=extra))
            body = body_of(size)
            for start in range(0, size, PART_BYTES):
                part = body[start : start + PART_BYTES]
                if is_chunked:
                    part = b"%x\r\n%b\r\n" % (len(part), part)
                await self._send(writer, part)
            if fault:
                await self._break_off(writer, fault)
                return False
            if is_chunked:
                await self._send(writer, b"0\r\n\r\n")
            return is_chunked

        return converse

    def endless(self) -> Converse:
        """Send a body of unknown length until the connection ends."""

        async def converse(request, reader, writer) -> bool:
            await self._send(writer, head_of(request, None))
            with suppress(ConnectionError):
                while not writer.transport.is_closing():
                    await self._send(writer, bytes(PART_BYTES))
            return False

        return converse

    async def _break_off(self, writer: StreamWriter, fault: str) -> None:
        """Fail in the middle of a body."""
        if fault == "resets the connection":
            await sleep(0.1)
            reset_on_close(writer.get_extra_info("socket"))
            writer.transport.abort()
        elif fault == "closes the connection":
            writer.close()
        else:
            await sleep(5.0)

    def take(self, pause_s: float = 0.0, answer_bytes: int = 2) -> Converse:
        """Receive a body, the first part only after a pause, and answer."""

        async def converse(request, reader, writer) -> bool:
            await sleep(pause_s)
            body = await self._receive_whole(request, reader)
            if body is None:
                self.gone += 1
                return False
            self.bodies.append(body)
            await self._send(writer, head_of(request, answer_bytes))
            await self._send(writer, body_of(answer_bytes))
            return True

        return converse

    async def _receive_whole(
        self, request: ReceivedRequest, reader: StreamReader
    ) -> bytes | None:
        """Receive a body with a length or in chunks, or nothing if it breaks off."""
        if "content-length" in request.headers:
            length = int(request.headers["content-length"])
            body = await self._receive(reader, length)
            return body if len(body) == length else None
        body = bytearray()
        try:
            while size := int(await reader.readline() or b"none", 16):
                part = await self._receive(reader, size)
                assert len(part) == size and await reader.readexactly(2) == b"\r\n"
                body += part
            await reader.readexactly(2)
        except (ValueError, AssertionError, IncompleteReadError, ConnectionError):
            return None
        return bytes(body)

    async def _receive(self, reader: StreamReader, size: int) -> bytes:
        """Receive bytes of a body, or as many as come before an end or a reset."""
        body = bytearray()
        with suppress(ConnectionError):
            while len(body) < size and (data := await reader.read(size - len(body))):
                body += data
                self.received_bytes += len(data)
        return bytes(body)

    def answer_early(self, first: int, status: int, extra: str, fault: str) -> Converse:
        """Answer after a part of the body, then read on or close the connection."""

        async def converse(request, reader, writer) -> bool:
            await self._receive(reader, first)
            await self._send(writer, head_of(request, 5, status, extra) + b"early")
            if fault == "closes":
                writer.close()
                return False
            with suppress(ConnectionError):
                while await reader.read(PART_BYTES):
                    pass
            self.gone += 1
            return False

        return converse

    def end_early(self, part: int, fault: str) -> Converse:
        """Send a body without a length before the request is there, and end it.

        The server then reads the rest of the request, or resets the connection.
        """

        async def converse(request, reader, writer) -> bool:
            await self._send(writer, head_of(request, None) + body_of(part))
            writer.write_eof()
            await sleep(END_PAUSE_S)
            if fault == "resets the connection":
                reset_on_close(writer.get_extra_info("socket"))
                writer.transport.abort()
                return False
            self.bodies.append(await self._receive_whole(request, reader))
            return False

        return converse

    def leave(self, first: int) -> Converse:
        """Reset the connection after a part of the body."""

        async def converse(request, reader, writer) -> bool:
            await self._receive(reader, first)
            writer.transport.abort()
            return False

        return converse

    def special(self, case: str, size: int) -> Converse:
        """Send a large response of which nothing may be forwarded early."""

        async def converse(request, reader, writer) -> bool:
            await reader.readexactly(int(request.headers.get("content-length", "0")))
            await self._send(writer, _special(request, case, body_of(size)))
            return False

        return converse


def _special(request: ReceivedRequest, case: str, body: bytes) -> bytes:
    if case.startswith("status 204"):
        return head_of(request, None, 204)
    if case.startswith("status"):
        return head_of(request, len(body), int(case.split()[1])) + body
    if case == "an encoded body":
        return head_of(request, len(body), extra="Content-Encoding: gzip\r\n") + body
    if case == "a chunked body":
        head = head_of(request, None, extra="Transfer-Encoding: chunked\r\n")
        return head + b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"
    if case == "a head alone":
        return head_of(request, len(body))
    return head_of(request, None) + body
