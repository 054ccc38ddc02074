"""Steps for clients of the operators' port that keep to no limit."""

import socket

from behave import given, then, when
from prometheus_client import CollectorRegistry

from damasktally.host.admin_port import AdminHooks, AdminPort
from damasktally.standins.ports import free_port

MIB = 1024 * 1024
PART_BYTES = 64 * 1024
TIMEOUT_S = 15.0
KINDS = {
    "headers without end": (b"GET /healthz HTTP/1.1\r\n", b"a: b\r\n"),
    "one header without end": (b"GET /healthz HTTP/1.1\r\na: ", b"a"),
    "a body in a GET": (
        b"GET /healthz HTTP/1.1\r\nHost: x\r\nContent-Length: 33554432\r\n\r\n",
        b"x",
    ),
}
"""First bytes of a request, and the bytes that are then repeated, by kind."""


@given("the operators' port of a threaded host")
def given_port(context):
    """Start the port without a token."""
    hooks = AdminHooks(CollectorRegistry(), lambda: True, dict, lambda name: None)
    context.admin_address = ("127.0.0.1", free_port())
    port = AdminPort(context.admin_address, "", hooks)
    port.start()
    context.cleanups.append(port.stop)


@when("a client sends it up to {count:d} MiB of {kind}")
def when_sent(context, count, kind):
    """Send until the connection ends, or all was taken."""
    first, repeated = KINDS[kind]
    part = repeated * (PART_BYTES // len(repeated))
    context.taken_bytes = 0
    with socket.create_connection(context.admin_address, TIMEOUT_S) as sock:
        try:
            sock.sendall(first)
            while context.taken_bytes < count * MIB:
                sock.sendall(part)
                context.taken_bytes += len(part)
        except ConnectionError:
            context.is_ended = True
        else:
            context.is_ended = False


@then("the port ends the connection before")
def then_ended(context):
    """Check that not all was taken."""
    assert context.is_ended, context.taken_bytes


@then("it answers an ordinary request")
def then_answers(context):
    """Ask for the health page."""
    with socket.create_connection(context.admin_address, TIMEOUT_S) as sock:
        sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b" 200 " in sock.recv(PART_BYTES)
