"""Helpers for steps: waiting, raw sockets and a scripted server."""

import socket
from threading import Thread
from time import sleep

from damasktally.clock import seconds_since_boot
from damasktally.escrow.limit_table import reports_with_prefix
from damasktally.resources.kinds import VIEW_KINDS

POLL_INTERVAL_S = 0.02
MAX_REVISIONS_BACK = 200
SOCKET_TIMEOUT_S = 10.0
SETTLE_TIMEOUT_S = 60.0
"""The slots of a removed host are free after the hold time and the longest request,
together 33.5 s."""


def wait_until(condition, within_s=15.0, what="the condition"):
    """Wait until a condition holds.

    :param within_s: longest wait, in seconds.
    :param what: what is awaited, for the error message.
    :raises AssertionError: when the condition does not hold in time.
    """
    end = seconds_since_boot() + within_s
    while seconds_since_boot() < end:
        if condition():
            return
        sleep(POLL_INTERVAL_S)
    raise AssertionError(f"timed out after {within_s} s waiting for {what}")


def wait_for_fleet(fleet):
    """Wait until every host is a member with the newest view, tokens and slots."""

    def newest_change():
        after = max(0, fleet.store.revision - MAX_REVISIONS_BACK)
        events = fleet.store.watch(after, VIEW_KINDS, 0.0).events
        return events[-1].object.revision if events else 0

    def ready():
        if any(host.view().revision < newest_change() for host in fleet.hosts):
            return False
        generations = {h.fleet.roster.generation for h in fleet.hosts}
        if len(generations) != 1:
            return False
        for host in fleet.hosts:
            report = reports_with_prefix(host.limit_table.limit_reports(), "customer:")
            if not report or not all(r.share_rate > 0 for r in report):
                return False
            if host.dispatcher.headroom() < 1 or not host.fleet.slot_window.is_settled(
                host.clock()
            ):
                return False
        return True

    wait_until(ready, SETTLE_TIMEOUT_S, "a settled fleet")


def connect(address):
    """Open a TCP connection to ``host:port``."""
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)), timeout=SOCKET_TIMEOUT_S)


def read_until_closed(conn):
    """Read until the peer closes or resets the connection."""
    data = b""
    try:
        while chunk := conn.recv(65536):
            data += chunk
    except OSError:
        pass
    return data


def read_head(conn):
    """Read until the end of a message's head or of the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = conn.recv(4096)
        if not chunk:
            break
        data += chunk
    return data


class ScriptedServer:
    """Server that runs a script for each connection, for faults no library can produce.

    Health probes are answered without the script.

    :param script: called with this server, the connection and its number from 0.
    """

    def __init__(self, script):
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.connections = 0
        self.requests = []
        self._first_heads = {}
        Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop listening; the shutdown unblocks the accepting thread."""
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            return
        self._listener.close()

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            conn.settimeout(SOCKET_TIMEOUT_S)
            Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        try:
            first = read_head(conn)
            if first.startswith(b"GET /healthz"):
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                return
            number = self.connections
            self.connections += 1
            self._first_heads[conn] = first
            self._script(self, conn, number)
        except OSError:
            pass
        finally:
            conn.close()

    def read_request(self, conn):
        """Read the head of a request and record it in ``requests``."""
        head = self._first_heads.pop(conn, None) or read_head(conn)
        if head:
            self.requests.append(head)
        return head
