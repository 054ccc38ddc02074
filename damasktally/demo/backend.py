"""Stand in for backend servers: HTTP on loopback, recorded in a history."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import sha256
from threading import Lock, Thread
from time import sleep
from typing import Any

from cheroot.wsgi import Server

from damasktally.clock import seconds_since_boot
from damasktally.verification.history import History, Ran

READ_BYTES = 65_536
SPARE_THREADS = 3
BACKLOG = 128


@dataclass
class Behaviour:
    """Say how a stand-in server works and misbehaves.

    :param work_s: seconds that a request takes.
    :param answer_bytes: size of an answer.
    :param secrets: secrets that must never arrive.
    :param fail_status: answer every request with this status.
    :param crossed: answer with the id of the request before.
    :param cut: close the connection halfway through an answer.
    """

    work_s: float = 0.005
    answer_bytes: int = 2_000
    secrets: set[str] = field(default_factory=set)
    fail_status: str = ""
    crossed: bool = False
    cut: bool = False


def answer_body(request_id: str, size: int) -> bytes:
    """Return the answer that belongs to a request, so that callers can check it."""
    stem = sha256(request_id.encode()).hexdigest().encode()
    return (stem * (size // len(stem) + 1))[:size]


class StandInServer:
    """Serve one backend server's port.

    :param name: the server's name.
    :param slots: how many requests it is made for.
    """

    def __init__(
        self, name: str, slots: int, behaviour: Behaviour, history: History
    ) -> None:
        self.name = name
        self.behaviour = behaviour
        self._slots = slots
        self._history = history
        self._lock = Lock()
        self._in_flight = 0
        self._last_id = "none"
        self._server = Server(
            ("127.0.0.1", 0), self._serve, numthreads=slots + SPARE_THREADS
        )
        self._server.keep_alive_conn_limit = None
        self._server.shutdown_timeout = 1
        self._server.timeout = 60

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"127.0.0.1:{self._server.bind_addr[1]}"

    def start(self) -> None:
        """Bind and serve in a thread."""
        self._server.prepare()
        Thread(target=self._server.serve, name=self.name, daemon=True).start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _serve(self, environ: dict[str, Any], start: Callable) -> Iterable[bytes]:
        if environ["PATH_INFO"] == "/healthz":
            start("200 OK", [("Content-Length", "0"), self._load()])
            return [b""]
        started = seconds_since_boot()
        with self._lock:
            self._in_flight += 1
        try:
            return self._run(environ, start, started)
        finally:
            with self._lock:
                self._in_flight -= 1

    def _run(
        self, environ: dict[str, Any], start: Callable, started: float
    ) -> Iterable[bytes]:
        plan = self.behaviour
        received = 0
        complete = True
        try:
            while data := environ["wsgi.input"].read(READ_BYTES):
                received += len(data)
        except (OSError, ValueError):
            complete = False
        length = environ.get("CONTENT_LENGTH") or ""
        if length.isdigit() and received < int(length):
            complete = False
        sleep(plan.work_s)
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        answer_id = self._last_id if plan.crossed else request_id
        self._last_id = request_id
        body = b"" if environ["REQUEST_METHOD"] == "HEAD" else None
        if body is None:
            body = answer_body(answer_id, plan.answer_bytes)
        self._record(environ, started, received, len(body), complete)
        headers = [
            ("Content-Length", str(plan.answer_bytes)),
            ("X-Request-Id", answer_id),
            self._load(),
        ]
        start(plan.fail_status or "200 OK", headers)
        return [body[: len(body) // 2]] if plan.cut else [body]

    def _record(
        self,
        environ: dict[str, Any],
        started: float,
        received: int,
        sent: int,
        complete: bool,
    ) -> None:
        text = "\n".join(str(v) for k, v in environ.items() if k.startswith("HTTP_"))
        text += environ.get("QUERY_STRING", "") + environ["PATH_INFO"]
        seen = any(secret in text for secret in self.behaviour.secrets)
        self._history.add(
            Ran(
                request_id=environ.get("HTTP_X_REQUEST_ID", ""),
                customer=environ.get("HTTP_DAMASKTALLY_CUSTOMER", ""),
                server=self.name,
                host=environ.get("HTTP_VIA", "").removeprefix("1.1 "),
                method=environ["REQUEST_METHOD"],
                idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
                started_at=started,
                ended_at=seconds_since_boot(),
                bytes_in=received,
                bytes_out=sent,
                key_seen=seen,
                complete=complete,
            )
        )

    def _load(self) -> tuple[str, str]:
        return ("Damasktally-Load", f"{min(1.0, self._in_flight / self._slots):.2f}")
