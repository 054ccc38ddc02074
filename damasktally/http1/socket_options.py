"""Options of sockets, and what their kernel buffers hold."""

from array import array
from fcntl import ioctl
from socket import (
    IPPROTO_TCP,
    SO_ERROR,
    SO_KEEPALIVE,
    SO_LINGER,
    SO_RCVBUF,
    SO_SNDBUF,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
    socket,
)
from struct import pack
from termios import TIOCOUTQ

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
"""Unanswered keepalive probes after which the kernel closes a connection."""
USER_TIMEOUT_MS = 3000
"""Time for which sent bytes may stay unacknowledged before the kernel gives up."""
STREAM_BUFFER_BYTES = 256 * 1024
"""Bytes of a body that is forwarded as it arrives which the kernel may hold on each
side. By itself it takes several megabytes from a sender that is faster than its reader.
"""
PIPELINE_BUFFER_BYTES = 16 * 1024
"""Bytes of responses to pipelined requests that the kernel may hold."""
LINGER_FOR_NO_TIME = pack("ii", 1, 0)
"""The option is on, with a time of 0 seconds."""


def enable_keepalive(sock: socket) -> None:
    """Enable TCP keepalive, so that the kernel closes a dead connection."""
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_COUNT)
    sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def reset_on_close(sock: socket) -> None:
    """Let the kernel discard unsent bytes and reset the connection when it closes."""
    sock.setsockopt(SOL_SOCKET, SO_LINGER, LINGER_FOR_NO_TIME)


def limit_send_buffer(sock: socket | None) -> None:
    """Limit the bytes that the kernel holds until a peer reads them."""
    if sock is not None:
        sock.setsockopt(SOL_SOCKET, SO_SNDBUF, STREAM_BUFFER_BYTES)


def limit_pipelined_responses(sock: socket | None) -> None:
    """Limit the bytes that the kernel holds of responses that a peer does not read."""
    if sock is not None:
        sock.setsockopt(SOL_SOCKET, SO_SNDBUF, PIPELINE_BUFFER_BYTES)


def limit_receive_buffer(sock: socket | None) -> None:
    """Limit the bytes that the kernel holds until they are read here."""
    if sock is not None:
        sock.setsockopt(SOL_SOCKET, SO_RCVBUF, STREAM_BUFFER_BYTES)


def has_failed(sock: socket) -> bool:
    """Return whether the connection of a socket was reset or timed out."""
    return sock.getsockopt(SOL_SOCKET, SO_ERROR) != 0


def unacknowledged_bytes(sock: socket | None) -> int:
    """Return the sent bytes that the peer's side has not taken yet.

    :returns: 0 if that is unknown, as for a closed socket.
    """
    count = array("i", [0])
    try:
        ioctl(sock, TIOCOUTQ, count)
    except (OSError, TypeError, ValueError):
        return 0
    return count[0]
