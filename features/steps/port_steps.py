"""Steps for ports that another socket uses."""

from socket import SOCK_DGRAM, SOCK_STREAM, socket

from behave import given, then
from entry_harness import wait_until
from entry_steps import make_settings, port_of, start_host

from damasktally.entry.listening import PORT_TIMEOUT_S, PortInUse


@given("settings whose port for {which:w} is used by another socket for {seconds:g} s")
def given_port_in_use(context, which, seconds):
    """Bind the port without sharing it, and release it after a time."""
    context.settings = make_settings(context.store.port)
    context.address = getattr(context.settings.listen, which)
    kinds = (SOCK_STREAM, SOCK_DGRAM) if which == "peers" else (SOCK_STREAM,)
    for kind in kinds:
        sock = socket(type=kind)
        sock.bind(("127.0.0.1", port_of(context.settings, which)))
        if kind == SOCK_STREAM:
            sock.listen()
        context.add_cleanup(sock.close)
        loop = context.loop_thread.loop
        loop.call_soon_threadsafe(loop.call_later, seconds, sock.close)


@then("a host that starts with them is ready within {seconds:g} s")
def then_ready(context, seconds):
    """Start a host and wait."""

    async def begin():
        host = await start_host(context, context.settings)
        await wait_until(lambda: host.is_ready, seconds)

    context.loop_thread.run(begin())
    context.add_cleanup(
        lambda: [context.loop_thread.run(h.close()) for h in context.hosts]
    )


@then("a host that starts with them fails after {seconds:g} s and names the address")
def then_start_fails(context, seconds):
    """Start a host and check the error."""
    assert PORT_TIMEOUT_S == seconds

    async def begin():
        try:
            await start_host(context, context.settings)
        except PortInUse as exc:
            return exc
        return None

    error = context.loop_thread.run(begin())
    assert error is not None and context.address in error.message, error
