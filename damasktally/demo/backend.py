"""Run stand-in backend servers: HTTP on loopback, recorded in a history."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import sha256
from threading import Lock, Thread
from time import sleep
from typing import Any

from cheroot.wsgi import Server

from damasktally.clock import seconds_since_boot
from damasktally.verification.history import History, RequestRun

READ_CHUNK_BYTES = 65_536
EXTRA_THREADS = 3
BACKLOG = 128


@dataclass
class ServerBehaviour:
    """Behaviour of a stand-in server, and the faults that it injects.

    :param work_s: seconds that the server works on a request.
    :param response_bytes: size of the body of a response, in bytes.
    :param secrets: secrets that the server must never receive; runs record whether it
        did.
    :param forced_status: status line of every response; 200 without it.
    :param answers_previous_request: respond with the id and body of the request before.
    :param truncates_body: send only half of a response's body.
    """

    work_s: float = 0.005
    response_bytes: int = 2_000
    secrets: set[str] = field(default_factory=set)
    forced_status: str = ""
    answers_previous_request: bool = False
    truncates_body: bool = False


def make_response_body(request_id: str, size: int) -> bytes:
    """Return the body that belongs to a request, so that callers can check it.

    :param size: length of the body, in bytes.
    """
    pattern = sha256(request_id.encode()).hexdigest().encode()
    return (pattern * (size // len(pattern) + 1))[:size]


class StandInServer:
    """Stand-in for one backend server.

    :param name: the server's name.
    :param slots: number of requests that it is built to run at once.
    """

    def __init__(
        self, name: str, slots: int, behaviour: ServerBehaviour, history: History
    ) -> None:
        self.name = name
        self.behaviour = behaviour
        self._slots = slots
        self._history = history
        self._lock = Lock()
        self._in_flight = 0
        self._last_id = "none"
        self._server = Server(
            ("127.0.0.1", 0), self._handle, numthreads=slots + EXTRA_THREADS
        )
        self._server.keep_alive_conn_limit = None
        self._server.shutdown_timeout = 1
        self._server.timeout = 60

    @property
    def address(self) -> str:
        """Return the address as ``host:port``."""
        return f"127.0.0.1:{self._server.bind_addr[1]}"

    def start(self) -> None:
        """Bind the port and serve it in a thread."""
        self._server.prepare()
        Thread(target=self._server.serve, name=self.name, daemon=True).start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _handle(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        if environ["PATH_INFO"] == "/healthz":
            start_response("200 OK", [("Content-Length", "0"), self._load_header()])
            return [b""]
        started_at = seconds_since_boot()
        with self._lock:
            self._in_flight += 1
        try:
            return self._handle_request(environ, start_response, started_at)
        finally:
            with self._lock:
                self._in_flight -= 1

    def _handle_request(
        self, environ: dict[str, Any], start_response: Callable, started_at: float
    ) -> Iterable[bytes]:
        behaviour = self.behaviour
        received = 0
        is_complete = True
        try:
            while data := environ["wsgi.input"].read(READ_CHUNK_BYTES):
                received += len(data)
        except (OSError, ValueError):
            is_complete = False
        length = environ.get("CONTENT_LENGTH") or ""
        if length.isdigit() and received < int(length):
            is_complete = False
        sleep(behaviour.work_s)
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        response_id = (
            self._last_id if behaviour.answers_previous_request else request_id
        )
        self._last_id = request_id
        body = b"" if environ["REQUEST_METHOD"] == "HEAD" else None
        if body is None:
            body = make_response_body(response_id, behaviour.response_bytes)
        self._record(environ, started_at, received, len(body), is_complete)
        headers = [
            ("Content-Length", str(behaviour.response_bytes)),
            ("X-Request-Id", response_id),
            self._load_header(),
        ]
        start_response(behaviour.forced_status or "200 OK", headers)
        return [body[: len(body) // 2]] if behaviour.truncates_body else [body]

    def _record(
        self,
        environ: dict[str, Any],
        started_at: float,
        received: int,
        sent: int,
        is_complete: bool,
    ) -> None:
        text = "\n".join(str(v) for k, v in environ.items() if k.startswith("HTTP_"))
        text += environ.get("QUERY_STRING", "") + environ["PATH_INFO"]
        secret_was_sent = any(secret in text for secret in self.behaviour.secrets)
        self._history.add(
            RequestRun(
                request_id=environ.get("HTTP_X_REQUEST_ID", ""),
                customer=environ.get("HTTP_DAMASKTALLY_CUSTOMER", ""),
                server=self.name,
                host=environ.get("HTTP_VIA", "").removeprefix("1.1 "),
                method=environ["REQUEST_METHOD"],
                idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
                started_at=started_at,
                ended_at=seconds_since_boot(),
                bytes_in=received,
                bytes_out=sent,
                has_secret=secret_was_sent,
                is_complete=is_complete,
            )
        )

    def _load_header(self) -> tuple[str, str]:
        return ("Damasktally-Load", f"{min(1.0, self._in_flight / self._slots):.2f}")
