"""Steps that run seeds of the soak test, and faults that it once found."""

import sys
import tempfile
from asyncio import gather, run, sleep
from collections import Counter
from pathlib import Path
from signal import SIGHUP
from socket import socketpair
from subprocess import PIPE, Popen

from behave import given, then, when
from entry_harness import send_request, wait_until
from fault_soak.checks import wait_until_settled
from fault_soak.fleet import SoakFleet
from fault_soak.run import run_seed

CALLER_COUNT = 8
LATE_CALLER_COUNT = 40
LATE_CALLER_INTERVAL_S = 0.0002
INTERPRETER_START_TIMEOUT_S = 10.0
"""Time in which the interpreter has to start; before, no program can handle signals."""


@then(
    "{hosts:d} processes keep every guarantee "
    "through {seconds:g} s of the faults of seed {seed:d}"
)
def then_no_problems(context, hosts, seconds, seed):
    """Run one seed; it has to find no problem and serve at least one request."""
    with tempfile.TemporaryDirectory() as folder:
        result = run(run_seed(seed, Path(folder), hosts, seconds, CALLER_COUNT))
    assert not result.problems, str(result)
    assert result.served > 0, str(result)


@then(
    "{hosts:d} processes heed servers' reports "
    "through {seconds:g} s of the faults of seed {seed:d}"
)
def then_reports_heeded(context, hosts, seconds, seed):
    """Run one seed with servers that report on themselves."""
    with tempfile.TemporaryDirectory() as folder:
        result = run(run_seed(seed, Path(folder), hosts, seconds, CALLER_COUNT, True))
    assert not result.problems, str(result)
    assert result.served > 0, str(result)


@then(
    "{hosts:d} processes of two versions keep every guarantee "
    "through {seconds:g} s of the faults of seed {seed:d}"
)
def then_versions_keep_guarantees(context, hosts, seconds, seed):
    """Run one seed whose hosts change their version when they are restarted."""
    with tempfile.TemporaryDirectory() as folder:
        result = run(
            run_seed(
                seed, Path(folder), hosts, seconds, CALLER_COUNT, with_upgrade=True
            )
        )
    assert not result.problems, str(result)
    assert result.served > 0, str(result)


CHOOSE_PORTS = """
import sys
from damasktally.standins.ports import free_port
print(*(free_port() for _ in range(int(sys.argv[1]))), flush=True)
sys.stdin.read()
"""


@then("{processes:d} processes that choose {count:d} ports each choose none twice")
def then_ports_differ(context, processes, count):
    """Let processes choose at the same time; all live until the last has chosen."""
    children = [
        Popen(
            [sys.executable, "-c", CHOOSE_PORTS, str(count)],
            stdin=PIPE,
            stdout=PIPE,
            text=True,
        )
        for _ in range(processes)
    ]
    chosen = Counter(
        port for child in children for port in child.stdout.readline().split()
    )
    for child in children:
        child.communicate()
    assert chosen.total() == processes * count
    assert chosen.most_common(1)[0][1] == 1, chosen.most_common(3)


@given("the host keeps a connection to every server")
def given_connections(context):
    """Send requests until each server has received one."""

    async def send_until_all_received():
        for number in range(60):
            await gather(
                *(
                    send_request(
                        context.port, "/read/1", request_id=f"warm-{number}-{caller}"
                    )
                    for caller in range(4)
                )
            )
            if all(server.received for server in context.servers):
                return
        raise AssertionError("some server got no request")

    context.loop_thread.run(send_until_all_received())


@when("callers connect at the moment at which the host closes its port")
def when_connecting_during_stop(context):
    """Accept connections, as the kernel may have queued them, while the host stops."""
    server_ends, client_ends = zip(
        *(socketpair() for _ in range(LATE_CALLER_COUNT)), strict=True
    )
    context.late_ids = [f"late-{number}" for number in range(LATE_CALLER_COUNT)]

    async def accept(number):
        host = context.host
        await sleep(number * LATE_CALLER_INTERVAL_S)
        server_ends[number].setblocking(False)
        await host._loop.connect_accepted_socket(
            host._ports.callers.create_protocol, server_ends[number]
        )

    async def stop():
        host = context.host
        port = host._ports._servers[0]
        close = port.close

        def close_and_accept():
            close()
            if context.tasks:
                return
            for number, sock in enumerate(client_ends):
                sock.sendall(request_bytes(context.late_ids[number]))
                context.tasks.append(host._loop.create_task(accept(number)))

        context.tasks = []
        port.close = close_and_accept
        await host.stop()
        await gather(*context.tasks, return_exceptions=True)

    context.loop_thread.run(stop())
    context.late_answers = [read_all(sock) for sock in client_ends]


def request_bytes(request_id):
    """Return the bytes of a request with a key."""
    return (
        "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n"
        f"Request-Id: {request_id}\r\nDeadline-Ms: 2000\r\nKey: k-1\r\n\r\n"
    ).encode()


def read_all(sock):
    """Return what a socket receives until its end or for 1 s without data."""
    sock.settimeout(1.0)
    data = b""
    try:
        while part := sock.recv(65_536):
            data += part
    except OSError:
        return data
    return data


@then("each of their requests that a server ran was answered")
def then_each_answered(context):
    """Compare the requests that servers ran with those that were answered."""
    ran = {
        request.headers["request-id"]
        for server in context.servers
        for request in server.received
    }
    answered = {
        request_id
        for request_id, data in zip(context.late_ids, context.late_answers, strict=True)
        if data.startswith(b"HTTP/1.1 ")
    }
    assert ran & set(context.late_ids) <= answered, (ran, answered)


@then("a host that receives SIGHUP {count:d} times while it starts becomes ready")
def then_starts_despite_signals(context, count):
    """Signal a process while it imports its modules."""

    async def signal_starting_host(folder):
        fleet = SoakFleet(Path(folder), host_count=1, server_count=1)
        try:
            await fleet.start()
            host = fleet.hosts[0]
            await wait_until(
                lambda: host.ignores_signal(SIGHUP),
                INTERPRETER_START_TIMEOUT_S,
            )
            log = (fleet.folder / f"{host.name}.log").read_text()
            assert "host-started" not in log, "the signal was ignored too late"
            for _ in range(count):
                host.signal(SIGHUP)
                await sleep(1.0 / count)
            return await wait_until_settled(fleet), host.is_running
        finally:
            await fleet.close()

    with tempfile.TemporaryDirectory() as folder:
        problems, running = run(signal_starting_host(folder))
    assert running and not problems, problems
