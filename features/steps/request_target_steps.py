"""Steps for the forms of targets and headers."""

from behave import then, when
from entry_steps import send_raw

WHITE_SPACE = {"spaces": "   ", "tabs": "\t \t"}


def make_text(target, host, key):
    """Return a request without a body."""
    return (
        f"GET {target} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: r-1\r\n"
        f"Affinity-Key: 7\r\nKey:{key}\r\nDeadline-Ms: 2000\r\n\r\n"
    ).encode()


@when("the target {target} is sent with the host header {host}")
def when_target(context, target, host):
    """Send a request with a target in some form."""
    text = make_text(target, host, " k-1")
    context.answer = context.loop_thread.run(send_raw(context.port, text))


@when("a request for {path} is sent with {case} around its key")
def when_white_space(context, path, case):
    """Send a request whose key stands between white space."""
    space = WHITE_SPACE[case]
    text = make_text(path, "shop.example", f"{space}k-1{space}")
    context.answer = context.loop_thread.run(send_raw(context.port, text))


@then("it gets {status:d}")
def then_gets(context, status):
    """Check the status of the answer."""
    assert context.answer.status == status, context.answer


@then("the servers got {paths}")
def then_paths(context, paths):
    """Check the targets that were passed on."""
    received = [
        request.line.split(" ")[1]
        for server in context.servers
        for request in server.received
    ]
    assert received == ([] if paths == "nothing" else [paths]), received
