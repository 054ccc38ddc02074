"""HTTP server of the object API on top of a :class:`MemoryStore`."""

from collections.abc import Callable, Iterable
from threading import Thread
from time import sleep
from typing import Any
from urllib.parse import parse_qs

from cheroot.wsgi import Server
from pydantic import BaseModel

from damasktally.objects.api import StoredObject
from damasktally.objects.exceptions import Conflict, HistoryGone, NotFound, StoreError
from damasktally.standins.memory import MemoryStore

STATUS_BY_ERROR = {
    Conflict: "409 Conflict",
    HistoryGone: "410 Gone",
    NotFound: "404 Not Found",
}
WORKER_THREADS = 32
"""Requests, waiting watches included, that are served at the same time."""


class FaultPlan(BaseModel):
    """Faults that the stand-in injects.

    :param down: every call fails with status 503.
    :param delay_s: seconds by which every response is delayed.
    :param lose_answers: number of the next writes whose response is lost, although
        they take effect.
    :param lose_only: lose only responses to writes whose path contains this kind.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_only: str = ""


class StandInPlatform:
    """Stand-in for the platform, which serves the object API on a loopback port.

    :param store: the objects to serve.
    :param address: IP address and port; port 0 selects a free one.
    """

    def __init__(
        self, store: MemoryStore, address: tuple[str, int] = ("127.0.0.1", 0)
    ) -> None:
        self.store = store
        self.faults = FaultPlan()
        self.calls = 0
        self._server = Server(address, self._handle_wsgi, numthreads=WORKER_THREADS)
        self._server.shutdown_timeout = 1

    @property
    def url(self) -> str:
        """Return the base URL for clients."""
        host, port = self._server.bind_addr[:2]
        return f"http://{host}:{port}"

    def start(self) -> None:
        """Bind the port and serve requests in a background thread.

        :raises OSError: when the port cannot be bound.
        """
        self._server.prepare()
        Thread(target=self._server.serve, name="platform", daemon=True).start()

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop()

    def _handle_wsgi(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        self.calls += 1
        if self.faults.delay_s:
            sleep(self.faults.delay_s)
        if self.faults.down:
            start_response("503 Service Unavailable", [("Content-Length", "0")])
            return [b""]
        try:
            response_body = self._dispatch(environ)
            status = "200 OK"
        except StoreError as exc:
            status = STATUS_BY_ERROR.get(type(exc), "500 Internal Server Error")
            response_body = b'{"error": "%s"}' % exc.message.encode()
        if self._loses_response(environ):
            self.faults.lose_answers -= 1
            status, response_body = "504 Gateway Timeout", b""
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(response_body))),
        ]
        start_response(status, headers)
        return [response_body]

    def _loses_response(self, environ: dict[str, Any]) -> bool:
        if not self.faults.lose_answers or environ["REQUEST_METHOD"] == "GET":
            return False
        return self.faults.lose_only in environ["PATH_INFO"]

    def _dispatch(self, environ: dict[str, Any]) -> bytes:
        method = environ["REQUEST_METHOD"]
        parts = environ["PATH_INFO"].strip("/").split("/")
        query = parse_qs(environ.get("QUERY_STRING", ""))
        if parts == ["v1", "watch"]:
            page = self.store.watch(
                int(query["after"][0]),
                query["kinds"][0].split(","),
                float(query["wait"][0]),
            )
            return page.model_dump_json().encode()
        if parts == ["v1", "objects"]:
            page = self.store.list_objects(query["kinds"][0].split(","))
            return page.model_dump_json().encode()
        if len(parts) != 4 or parts[:2] != ["v1", "objects"]:
            raise NotFound("The path does not exist.", "Use /v1/objects/KIND/NAME.")
        kind, name = parts[2:]
        if method == "PUT":
            length = int(environ.get("CONTENT_LENGTH") or 0)
            obj = StoredObject.model_validate_json(environ["wsgi.input"].read(length))
            return self.store.put(obj).model_dump_json().encode()
        if method == "DELETE":
            revision = int(environ["HTTP_IF_MATCH"])
            self.store.delete(kind, name, revision)
            return b"{}"
        return self.store.get(kind, name).model_dump_json().encode()
