"""Process of many clients that keep to no limit, for tests of the limits of a host.

Usage: ``python -m features.steps.crowd PORT COUNT SECONDS CONDUCT``. Each connection is
opened again when the host has closed it. Nothing that the host sends is read.
"""

import socket
import sys
from asyncio import Event as AsyncEvent
from asyncio import (
    Protocol,
    Transport,
    gather,
    get_running_loop,
    run,
    sleep,
    wait_for,
)
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import dataclass

WRITE_BYTES = 32 * 1024
"""Bytes that a connection sends at a time."""
TRICKLE_INTERVAL_S = 0.5
"""Seconds between single bytes that follow what a connection sends at first."""
RECONNECT_DELAY_S = 0.1
OWNER = b"Host: shop.example\r\nKey: k-1\r\nRequest-Id: r-1\r\n"
ROOM_FOR_END_BYTES = 200
"""Bytes by which a head that stays open is shorter than the limit."""
MAX_HEAD_BYTES = 16_384
"""Limit on heads in the configuration of these tests."""


@dataclass(frozen=True)
class Conduct:
    """What a connection sends.

    :param first: bytes that are sent once.
    :param repeated: bytes that then follow without end, if any.
    :param trickle: a single byte that is sent now and then, if any.
    """

    first: bytes = b""
    repeated: bytes = b""
    trickle: bytes = b""


def open_head(header: bytes) -> bytes:
    """Return a head within the limit whose end is missing."""
    line = b"GET /read/1 HTTP/1.1\r\n"
    room = MAX_HEAD_BYTES - ROOM_FOR_END_BYTES - len(line)
    return line + header * (room // len(header))


CONDUCTS = {
    "headers of four bytes without end": Conduct(b"GET / HTTP/1.1\r\n", b"a:\r\n"),
    "one header without end": Conduct(b"GET / HTTP/1.1\r\na: ", b"a"),
    "a line without end": Conduct(b"GET /", b"a"),
    "a head of small headers that stays open": Conduct(open_head(b"a:\r\n")),
    "a head of one header that stays open": Conduct(
        open_head(b"a") + b": ", trickle=b"b"
    ),
    "bodies of which the last bytes are missing": Conduct(
        b"POST /pay/1 HTTP/1.1\r\n"
        + OWNER
        + b"Content-Length: 65000\r\n\r\n"
        + b"x" * 64_000,
        trickle=b"x",
    ),
    "large heads whose bodies stay open": Conduct(
        b"POST /pay/1 HTTP/1.1\r\n"
        + OWNER
        + b"a:\r\n" * 3900
        + b"Content-Length: 100\r\n\r\n",
        trickle=b"x",
    ),
    "chunks of one byte": Conduct(
        b"POST /pay/1 HTTP/1.1\r\n" + OWNER + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
    ),
    "nothing": Conduct(),
    "requests without reading": Conduct(b"", b"GET / HTTP/1.1\r\n\r\n"),
    "requests of an unknown path": Conduct(
        b"", b"GET /unknown HTTP/1.1\r\n" + OWNER + b"\r\n"
    ),
    "look-ups without reading": Conduct(
        b"",
        b"GET /resolve?Name=shop.example&Region=north&Zone=dc-1 HTTP/1.1\r\n"
        b"Host: x\r\n\r\n",
    ),
    "empty lines": Conduct(b"", b"\r\n"),
    "empty lines of one byte": Conduct(b"", b"\n"),
    "frames of 16 MiB": Conduct((16 * 1024 * 1024).to_bytes(4, "big"), b"x"),
    "trailers without end": Conduct(
        b"POST /pay/1 HTTP/1.1\r\n"
        + OWNER
        + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
        b"a:\r\n",
    ),
}
"""Conducts of a crowd by name."""

DATAGRAMS = {
    "datagrams of other bytes": bytes(range(256)) * 4,
    "empty datagrams": b"",
    "datagrams of nested lists": b"\x91" * 60_000,
}
"""Contents of the datagrams that a crowd sends, by name."""
DATAGRAMS_AT_A_TIME = 20
DATAGRAM_INTERVAL_S = 0.01


class CrowdConnection(Protocol):
    """Protocol of one connection of the crowd.

    ``ended`` is set when the connection has ended.
    """

    def __init__(self, conduct: Conduct) -> None:
        self._conduct = conduct
        self._transport: Transport | None = None
        self._loop = get_running_loop()
        self._is_paused = False
        count = WRITE_BYTES // max(1, len(conduct.repeated))
        self._block = conduct.repeated * count
        self.ended = AsyncEvent()

    def connection_made(self, transport: Transport) -> None:
        """Send the first bytes, and read nothing."""
        self._transport = transport
        transport.pause_reading()
        transport.set_write_buffer_limits(0)
        transport.write(self._conduct.first)
        if self._block:
            self._send_more()
        else:
            self._trickle()

    def _send_more(self) -> None:
        if not self._is_paused and not self._transport.is_closing():
            self._transport.write(self._block)
            self._loop.call_soon(self._send_more)

    def _trickle(self) -> None:
        """Send a byte, if there is one; the write notices an end of the connection."""
        if self._transport.is_closing():
            return
        if self._conduct.trickle:
            self._transport.write(self._conduct.trickle)
        self._loop.call_later(TRICKLE_INTERVAL_S, self._trickle)

    def pause_writing(self) -> None:
        """Wait until the host takes more."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Send more."""
        self._is_paused = False
        self._send_more()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end."""
        self.ended.set()


async def keep_connecting(port: int, conduct: Conduct) -> None:
    """Open one connection after the other."""
    loop = get_running_loop()
    while True:
        with suppress(OSError):
            _, protocol = await loop.create_connection(
                lambda: CrowdConnection(conduct), "127.0.0.1", port
            )
            await protocol.ended.wait()
        await sleep(RECONNECT_DELAY_S)


async def send_datagrams(port: int, data: bytes) -> None:
    """Send the same datagram over and over, some at a time."""
    sock = socket.socket(type=socket.SOCK_DGRAM)
    sock.setblocking(False)
    while True:
        for _ in range(DATAGRAMS_AT_A_TIME):
            with suppress(OSError):
                sock.sendto(data, ("127.0.0.1", port))
        await sleep(DATAGRAM_INTERVAL_S)


def act(port: int, name: str) -> Coroutine[None, None, None]:
    """Return what one client does until it is cancelled."""
    if name in DATAGRAMS:
        return send_datagrams(port, DATAGRAMS[name])
    return keep_connecting(port, CONDUCTS[name])


async def main(port: int, count: int, seconds: float, name: str) -> None:
    """Keep all clients connected for some seconds, then end, which closes them."""
    crowd = gather(*(act(port, name) for _ in range(count)))
    with suppress(TimeoutError):
        await wait_for(crowd, seconds)


if __name__ == "__main__":
    run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), sys.argv[4]))
