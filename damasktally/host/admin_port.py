"""HTTP server for operators: health, readiness, metrics, status, explanations."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hmac import compare_digest
from json import dumps
from threading import Thread
from typing import Any

from cheroot.wsgi import Server
from prometheus_client import CollectorRegistry, generate_latest

WORKER_THREADS = 4
"""Requests that are served at the same time."""
MAX_HEAD_BYTES = 32_768
MAX_BODY_BYTES = 65_536
"""No page reads a body."""
JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """Response of the admin port to one request."""

    status: str
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class AdminHooks:
    """Functions and metrics of the host that the admin port uses.

    :param registry: the metrics that ``/metrics`` exports.
    :param is_ready: returns whether this host accepts requests with keys.
    :param describe_status: returns the fields of ``/status``.
    :param find_request: returns the record of a request's decisions by its identifier,
        or ``None`` when this host has none.
    """

    registry: CollectorRegistry
    is_ready: Callable[[], bool]
    describe_status: Callable[[], dict]
    find_request: Callable[[str], dict | None]


class AdminPort:
    """HTTP server for operators.

    ``/healthz`` needs no token; every other page does if a token is set.

    :param address: IP address and port to listen on.
    :param token: bearer token that clients must send; empty on loopback, where none
        is needed.
    :param hooks: functions that return the content of the pages.
    """

    def __init__(self, address: tuple[str, int], token: str, hooks: AdminHooks) -> None:
        self._hooks = hooks
        self._token = token
        self._server = Server(address, self._handle_wsgi, numthreads=WORKER_THREADS)
        self._server.max_request_header_size = MAX_HEAD_BYTES
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.shutdown_timeout = 1

    def start(self) -> None:
        """Bind the port and serve requests in a background thread.

        :raises OSError: when the port cannot be bound.
        """
        self._server.prepare()
        Thread(target=self._server.serve, name="admin-port", daemon=True).start()

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop()

    def _handle_wsgi(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        response = self._route_request(environ)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        start_response(response.status, headers)
        return [response.body]

    def _route_request(self, environ: dict[str, Any]) -> AdminResponse:
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return _json_response("200 OK", {"alive": True})
        if not self._is_authorized(environ):
            return _json_response(
                "401 Unauthorized",
                {"error": "Send [admin] token as 'Authorization: Bearer TOKEN'."},
            )
        if path == "/readyz":
            ready = self._hooks.is_ready()
            status = "200 OK" if ready else "503 Service Unavailable"
            return _json_response(status, {"ready": ready})
        if path == "/metrics":
            return AdminResponse(
                "200 OK", TEXT_TYPE, generate_latest(self._hooks.registry)
            )
        if path == "/status":
            return _json_response("200 OK", self._hooks.describe_status())
        if path.startswith("/explain/"):
            return self._explain_request(path.removeprefix("/explain/"))
        return _json_response("404 Not Found", {"error": "Page not found."})

    def _explain_request(self, request_id: str) -> AdminResponse:
        record = self._hooks.find_request(request_id)
        if record is None:
            message = "This host has no record of that request; query the other hosts."
            return _json_response("404 Not Found", {"error": message})
        return _json_response("200 OK", record)

    def _is_authorized(self, environ: dict[str, Any]) -> bool:
        if not self._token:
            return True
        authorization = environ.get("HTTP_AUTHORIZATION", "")
        return compare_digest(authorization.encode(), f"Bearer {self._token}".encode())


def _json_response(status: str, fields: dict) -> AdminResponse:
    return AdminResponse(status, JSON_TYPE, dumps(fields).encode())
