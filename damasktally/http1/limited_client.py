"""Limit the responses that clients with urllib3 read, in framing, body and time."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from http.client import BadStatusLine, HTTPException, HTTPResponse
from io import BufferedReader
from typing import Any

from urllib3 import HTTPConnectionPool, HTTPHeaderDict, PoolManager
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from damasktally.http1.framing import FramingCounter
from damasktally.http1.messages import VALID_STATUSES

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Longest body that is read into memory."""
READ_BYTES = 64 * 1024
"""Bytes of a body that are read at a time."""


class FramingTooLong(HTTPException):
    """The head, the chunk sizes or the trailers of a response are too long."""


class LimitedReader(BufferedReader):
    """Reader of a response that counts lines, which are framing, and other reads.

    :param raw: the socket's unbuffered reader.
    """

    def __init__(self, raw: Any) -> None:
        super().__init__(raw)
        self._framing = FramingCounter()

    def readline(self, size: int = -1) -> bytes:
        """Read a line of the framing.

        :raises FramingTooLong: if the response has too much framing for its body.
        """
        line = super().readline(size)
        self._framing.add_received(len(line))
        if self._framing.is_exceeded():
            raise FramingTooLong("The framing of the response is too long.")
        return line

    def read(self, size: int | None = -1) -> bytes:
        """Read bytes of the body."""
        return self._count_body(super().read(size))

    def read1(self, size: int = -1) -> bytes:
        """Read bytes of the body with at most one read of the socket."""
        return self._count_body(super().read1(size))

    def _count_body(self, data: bytes) -> bytes:
        self._framing.add_received(len(data))
        self._framing.add_body(len(data))
        return data


class ResponseTooLong(HTTPError):
    """The body of a response is too long, or took too long to arrive."""


class LimitedResponse(HTTPResponse):
    """Response whose framing is limited, for ``HTTPConnection.response_class``.

    The standard library limits the length of a line and the number of headers, but not
    the number of interim responses, trailers or chunk extensions.
    """

    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp = LimitedReader(self.fp.detach())

    def _read_status(self) -> tuple[str, int, str]:
        """Read a status line; the base class skips only responses with status 100.

        It would take another interim response for the final one, and a status that is
        none, from 600 on, for one.
        """
        version, status, reason = super()._read_status()
        if status not in VALID_STATUSES:
            raise BadStatusLine(f"{status} is no status")
        is_interim = HTTPStatus.CONTINUE <= status < HTTPStatus.OK
        if is_interim and status != HTTPStatus.SWITCHING_PROTOCOLS:
            status = HTTPStatus.CONTINUE
        return version, status, reason


class LimitedConnection(HTTPConnection):
    """Connection whose responses have limited framing."""

    response_class = LimitedResponse


class LimitedConnectionPool(HTTPConnectionPool):
    """Pool of such connections to one server."""

    ConnectionCls = LimitedConnection


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """Hold a response that was read completely."""

    status: int
    headers: HTTPHeaderDict
    body: bytes


def make_pool_manager(**options: Any) -> PoolManager:
    """Return a pool manager whose responses over HTTP have limited framing.

    :param options: options of :class:`urllib3.PoolManager`.
    """
    manager = PoolManager(**options)
    manager.pool_classes_by_scheme = {
        **manager.pool_classes_by_scheme,
        "http": LimitedConnectionPool,
    }
    return manager


def fetch(
    manager: PoolManager,
    method: str,
    url: str,
    deadline: float,
    clock: Callable[[], float],
    **options: Any,
) -> ReceivedResponse:
    """Send a request and read the whole response.

    :param deadline: when the body has to be complete, in seconds on the clock.
    :param options: options of :meth:`urllib3.PoolManager.request`.
    :raises HTTPError: if the request fails, or the response is too long or too slow.
    """
    response = manager.request(method, url, preload_content=False, **options)
    body = bytearray()
    try:
        while chunk := response.read1(READ_BYTES):
            body += chunk
            if len(body) > MAX_BODY_BYTES or clock() > deadline:
                raise ResponseTooLong(f"{len(body)} bytes are not the whole response.")
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return ReceivedResponse(response.status, response.headers, bytes(body))
