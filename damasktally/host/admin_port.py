"""Serve operators: metrics, health, status and explanations."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hmac import compare_digest
from json import dumps
from threading import Thread
from typing import Any

from cheroot.wsgi import Server
from prometheus_client import CollectorRegistry, generate_latest

THREADS = 4
JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True, slots=True)
class AdminAnswer:
    """Hold what the admin port answers."""

    status: str
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class AdminHooks:
    """Say where the admin port finds its answers.

    :param ready: tells whether this host takes requests with keys.
    :param explain: returns how a request was decided, or nothing.
    """

    registry: CollectorRegistry
    ready: Callable[[], bool]
    status: Callable[[], dict]
    explain: Callable[[str], dict | None]


class AdminPort:
    """Listen for operators.

    :param token: what they must send as a bearer token; empty on loopback.
    """

    def __init__(self, address: tuple[str, int], token: str, hooks: AdminHooks) -> None:
        self._hooks = hooks
        self._token = token
        self._server = Server(address, self._serve, numthreads=THREADS)
        self._server.shutdown_timeout = 1

    def start(self) -> None:
        """Bind and serve in a thread."""
        self._server.prepare()
        Thread(target=self._server.serve, name="admin-port", daemon=True).start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _serve(self, environ: dict[str, Any], start: Callable) -> Iterable[bytes]:
        answer = self._answer(environ)
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
        ]
        start(answer.status, headers)
        return [answer.body]

    def _answer(self, environ: dict[str, Any]) -> AdminAnswer:
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return _json("200 OK", {"alive": True})
        if not self._allowed(environ):
            return _json(
                "401 Unauthorized",
                {"error": "Send [admin] token as 'Authorization: Bearer TOKEN'."},
            )
        if path == "/readyz":
            ready = self._hooks.ready()
            status = "200 OK" if ready else "503 Service Unavailable"
            return _json(status, {"ready": ready})
        if path == "/metrics":
            return AdminAnswer(
                "200 OK", TEXT_TYPE, generate_latest(self._hooks.registry)
            )
        if path == "/status":
            return _json("200 OK", self._hooks.status())
        if path.startswith("/explain/"):
            return self._explain(path.removeprefix("/explain/"))
        return _json("404 Not Found", {"error": "There is no such page."})

    def _explain(self, request_id: str) -> AdminAnswer:
        record = self._hooks.explain(request_id)
        if record is None:
            message = "This host does not remember that request; ask the others."
            return _json("404 Not Found", {"error": message})
        return _json("200 OK", record)

    def _allowed(self, environ: dict[str, Any]) -> bool:
        if not self._token:
            return True
        offered = environ.get("HTTP_AUTHORIZATION", "")
        return compare_digest(offered.encode(), f"Bearer {self._token}".encode())


def _json(status: str, fields: dict) -> AdminAnswer:
    return AdminAnswer(status, JSON_TYPE, dumps(fields).encode())
