"""Steps for the platform adapter and for the messages between hosts."""

import ast
import json
import os
import re
from asyncio import new_event_loop
from pathlib import Path
from time import monotonic

import msgspec
from behave import given, then, when

from damasktally.entry.output import LogOutput
from damasktally.entry.settings import SettingsInvalid, load_entry_settings
from damasktally.events.catalogue import REQUEST_ENDED, VIEW_CHANGED
from damasktally.events.explanation import explain_request
from damasktally.events.reasons import Reason
from damasktally.fleet.changes import describe_change
from damasktally.fleet.crash_reports import CrashEntry, CrashReport
from damasktally.fleet.members import Heartbeat, MemberTable
from damasktally.fleet.model import Member
from damasktally.fleet.server_limits import ServerLimitReport
from damasktally.fleet.server_loads import ServerLoadReport
from damasktally.fleet.summaries import RelaySummary
from damasktally.fleet.topics import Topic, revisions_by_topic
from damasktally.fleet.view import FleetView
from damasktally.fleet.view_changes import Decoders
from damasktally.platform.bounds import decode_bounds
from damasktally.platform.codec import (
    MalformedObject,
    decode_configuration,
    decode_server,
    parse_duration,
)
from features.steps.entry_harness import (
    BOUNDS,
    DEFAULT_ROUTES,
    LoopThread,
    StandInStore,
    make_configuration,
    make_route,
    send_request,
    wait_until,
)
from features.steps.entry_steps import make_settings, port_of, start_host

ROOT = Path(__file__).resolve().parent.parent.parent
WIRE_NAMES = (
    "ApiKeys AllowStale Affinity-Key ColdLeft ColdPerS Cold-Ms Deadline-Ms "
    "Expect-Instance HealthPath HeaderTimeout HomeRegions IdleTimeout Instance-Id "
    "MaxAttempts MaxBodyBytes MaxConns MaxHeaderBytes Not-Run PathPrefix RatePerS "
    "ReadyAddr Request-Id Server-Load Server-Stamp StoreRevision TargetLatency "
    "Tombstone Vhosts WaitMs DAMASKTALLY_BOOT RetrySlack QuotaSlack"
).split()
ALLOWED_ADAPTER_IMPORTS = ("errors", "fleet.model", "http1", "platform")


@then("no source file outside damasktally/platform contains a wire name")
def then_no_wire_names(context):
    """Search all source files of the product."""
    pattern = re.compile(
        "|".join(rf"(?<![\w-]){re.escape(name)}\b" for name in WIRE_NAMES)
    )
    found = []
    for path in (ROOT / "damasktally").rglob("*.py"):
        if "platform" in path.parent.name:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if pattern.search(line):
                found.append(f"{path.name}:{number}: {line.strip()}")
    assert not found, found


@then("damasktally/platform imports only modules that it may depend on")
def then_adapter_imports_allowed(context):
    """Check the imports of the adapter, which contains no decision or server code."""
    for path in (ROOT / "damasktally" / "platform").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                name = node.module.removeprefix("damasktally.")
                if name != node.module:
                    assert name.startswith(ALLOWED_ADAPTER_IMPORTS), (path.name, name)


@then('the duration "{text}" is {seconds:g} s')
def then_duration_parsed(context, text, seconds):
    """Check a parsed duration."""
    assert parse_duration(text) == seconds


def make_faulty_configuration(fault):
    """Return a configuration that has one fault.

    :param fault: as the scenario outline names it.
    """
    cfg = make_configuration(1, [make_route("r", "/r/")])
    path = cfg["Vhosts"][0]["Paths"][0]
    if fault == "without routes":
        del cfg["Vhosts"]
    elif fault == "whose version has no number":
        cfg["Version"] = "r"
    elif fault == "whose timeout has no unit":
        path["Timeout"] = "1000"
    else:
        path["Split"] = [{"Service": "svc", "Weight": "much"}]
    return cfg


def decode_error(decode, *args):
    """Return the error that a decoder raises, or ``None``."""
    try:
        decode(*args)
    except MalformedObject as exc:
        return exc
    return None


@then("a configuration {fault} cannot be decoded")
def then_configuration_rejected(context, fault):
    """Check that a configuration is rejected for its fault, and accepted without."""
    assert decode_error(decode_configuration, make_configuration(1, [])) is None
    assert (
        decode_error(decode_configuration, make_faulty_configuration(fault)) is not None
    )


@then("the bounds of the users' table are decoded")
def then_bounds_decoded(context):
    """Check the values, and that an unknown one is ignored."""
    bounds = decode_bounds(json.dumps({**BOUNDS, "More": "2s"}))
    assert (bounds.stop_timeout_s, bounds.retry_slack, bounds.quota_slack) == (
        2.0,
        60,
        20,
    )


@then("bounds without RetryRatio are rejected with its name")
def then_missing_bound_named(context):
    """Check that the error names a missing bound, and that other text is rejected."""
    figures = {key: value for key, value in BOUNDS.items() if key != "RetryRatio"}
    assert "RetryRatio" in str(decode_error(decode_bounds, json.dumps(figures)))
    assert decode_error(decode_bounds, "Grace=6s") is not None


def render_template(fields):
    """Render the placeholders of the settings template as the platform does."""
    text = (ROOT / "deploy" / "host.ini.template").read_text()

    def value(match):
        name, _, how = match.group(1).partition("|")
        found = fields
        for part in name.split("."):
            found = found[int(part) if part.isdigit() else part]
        if how == "json":
            return json.dumps(found)
        return ",".join(found) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, text)


TEMPLATE_FIELDS = {
    "NodeName": "host-1",
    "Ip": "127.0.0.1",
    "PortRange": [11, 26],
    "Region": "north",
    "Zone": "dc-1",
    "Listen": {
        "Front": "127.0.0.1:1",
        "ReadyAddr": "127.0.0.1:2",
        "Directory": "127.0.0.1:3",
        "Control": "127.0.0.1:4",
    },
    "Zones": {"dc-1": "north"},
    "Bootstrap": True,
    "Seeds": ["127.0.0.1:5", "127.0.0.1:6"],
    "Provider": {"Addr": "127.0.0.1:7"},
    "Limits": {"Cores": 3, "CpuShare": 0.5, "LinkMbps": 200.0, "MemoryMb": 152},
    "Bounds": BOUNDS,
}


@then("the rendered template loads with the ports of this host")
def then_template_loads(context):
    """Load settings as the platform would render them."""
    path = Path(context.config.userdata.get("tmp", "/tmp")) / "host.ini"
    path.write_text(render_template(TEMPLATE_FIELDS))
    settings = load_entry_settings(path)
    assert settings.listen.peers == "127.0.0.1:4"
    assert settings.listen.leases == ""
    assert settings.seeds == [("127.0.0.1", 5), ("127.0.0.1", 6)]
    assert settings.region_of == {"dc-1": "north"}
    path.write_text(render_template(TEMPLATE_FIELDS).replace("; leases =", "leases ="))
    assert load_entry_settings(path).listen.leases == "127.0.0.1:26"


@then("settings without a store address are rejected with a remedy")
def then_settings_rejected(context):
    """Load settings in which the name of an option is misspelt."""
    path = Path("/tmp/host-broken.ini")
    path.write_text(render_template(TEMPLATE_FIELDS).replace("address =", "adress ="))
    try:
        load_entry_settings(path)
    except SettingsInvalid as exc:
        assert "adress" in str(exc) or "address" in str(exc)
        assert exc.remedy
        return
    raise AssertionError("the settings were accepted")


@then("5000 log lines to a pipe that is not read are written without blocking")
def then_logging_does_not_block(context):
    """Write far more than fits into a pipe."""
    reader, writer = os.pipe()
    loop = new_event_loop()
    output = LogOutput(writer, loop)
    # Eliot passes the messages that it buffered to the first destination added.
    before = output.dropped_lines
    began = monotonic()
    for number in range(5000):
        output.accept({"number": number, "text": "x" * 400})
        if number % 100 == 0:
            output.flush()
    context.seconds = monotonic() - began
    context.dropped_lines = output.dropped_lines - before
    loop.close()
    os.close(reader)
    os.close(writer)
    assert context.seconds < 2.0, context.seconds


@then("the dropped lines are counted")
def then_dropped_lines_counted(context):
    """Check the number of dropped lines."""
    assert 4000 < context.dropped_lines < 5000, context.dropped_lines


def make_heartbeat(host="h-2", started=5, sequence=1, **fields):
    """Return a heartbeat."""
    known = {
        "ready": True,
        "stopped": False,
        "revisions": (),
        "demand": {},
        "admitted": {},
    }
    return Heartbeat(
        host=host,
        started_ms=started,
        region="north",
        data_centre="dc-1",
        caller_address="127.0.0.1:1",
        peer_host="127.0.0.1",
        peer_port=2,
        sequence=sequence,
        **{**known, **fields},
    )


@then("a heartbeat that names no customer takes at most {limit:d} bytes")
def then_heartbeat_is_small(context, limit):
    """Check the size of a message without the counts of customers."""
    heartbeat = make_heartbeat(
        host="edge-north-1", started=1792386136272, revisions=(120, 100, 123)
    )
    size = len(msgspec.msgpack.encode(heartbeat))
    assert size <= limit, size


@then("fields that a newer host appends are ignored")
def then_extra_fields_ignored(context):
    """Read a message with one more field."""
    heartbeat = make_heartbeat(revisions=(1, 2, 3, 4))
    values = msgspec.msgpack.decode(msgspec.msgpack.encode(heartbeat))
    data = msgspec.msgpack.encode([*values, "newer"])
    assert msgspec.msgpack.decode(data, type=Heartbeat | RelaySummary) == heartbeat
    assert set(revisions_by_topic(heartbeat.revisions)) == set(Topic)


@then("fields that an older host omits get their default")
def then_missing_fields_defaulted(context):
    """Read a message without its last field, without its last two, and so on."""
    later_fields = {
        "is_complete": False,
        "capacity": 3.0,
        "store_age_s": 4.0,
        "fleet_size": 7,
        "server_limits": (ServerLimitReport("s-1", 1, 2.0, 0.5),),
        "crash_reports": (CrashReport("f-1", (CrashEntry("s-1/1", 9, 0.5, False),)),),
        "leaving_servers": (("s-2", 5),),
        "forwarding_port": 9,
        "unreachable_services": ("svc",),
        "server_loads": (ServerLoadReport("s-3", 8, 6, 2, 250, 90),),
        "lease_port": 8,
        "has_lost_store": True,
        "is_store_unavailable": True,
    }
    values = msgspec.msgpack.decode(
        msgspec.msgpack.encode(make_heartbeat(**later_fields))
    )
    for kept in range(len(later_fields)):
        data = msgspec.msgpack.encode(values[: len(values) - len(later_fields) + kept])
        known = dict(list(later_fields.items())[:kept])
        decoded = msgspec.msgpack.decode(data, type=Heartbeat | RelaySummary)
        assert decoded == make_heartbeat(**known), kept


def make_member_table():
    """Return a table that knows this host only."""
    own = Member("h-1", 1, "north", "dc-1", "127.0.0.1:9", ("127.0.0.1", 9))
    return MemberTable(own)


@then("the member table ignores heartbeats of an older process and older sequences")
def then_older_heartbeats_ignored(context):
    """Check that only a newer heartbeat changes the table."""
    hosts = make_member_table()
    assert hosts.apply_heartbeat(make_heartbeat(sequence=4), 0.0)
    hosts.apply_heartbeat(make_heartbeat(sequence=3, ready=False), 1.0)
    hosts.apply_heartbeat(make_heartbeat(started=4, sequence=9, ready=False), 1.0)
    assert hosts.records()[0].ready and hosts.records()[0].last_seen_at == 0.0
    assert hosts.apply_heartbeat(make_heartbeat(started=6, sequence=1), 1.0)


@then("a stopped host is removed at once and a silent one is not live")
def then_stopped_and_silent_hosts(context):
    """Check that a silent host stays in the table until it announces its stop."""
    hosts = make_member_table()
    hosts.apply_heartbeat(make_heartbeat(), 0.0)
    assert len(hosts.live_records(1.9)) == 1
    assert not hosts.live_records(2.1)
    assert hosts.names() == ["h-1", "h-2"]
    hosts.apply_heartbeat(make_heartbeat(sequence=2, stopped=True), 2.2)
    assert hosts.names() == ["h-1"]


def make_view(revision):
    """Return a view that has a configuration at a revision."""
    decoders = Decoders(decode_configuration, decode_server, "main")
    view = FleetView(decoders, lambda change: None)
    cfg = make_configuration(5, DEFAULT_ROUTES)
    view.replace(Topic.CONFIGURATION, revision, {"main": cfg}, "store", 0.0)
    return view


@then("a view at revision 9 ignores a list of revision 8 from a peer")
def then_older_revision_ignored(context):
    """Check that a view never returns to an older revision."""
    view = make_view(9)
    old_objects = {"main": make_configuration(7, DEFAULT_ROUTES)}
    assert not view.replace(Topic.CONFIGURATION, 8, old_objects, "h-2", 0.0)
    assert view.configuration.version == 5


@then("a view at revision 9 applies revision 10 from a peer")
def then_newer_revision_applied(context):
    """Check that a newer revision is applied although it comes from a peer."""
    view = make_view(9)
    new_objects = {"main": make_configuration(7, DEFAULT_ROUTES)}
    assert view.replace(Topic.CONFIGURATION, 10, new_objects, "h-2", 0.0)
    assert view.configuration.version == 7


@given("two hosts of which one cannot reach the store")
def given_two_hosts(context):
    """Start two hosts that are peers; the store of one refuses all requests."""
    context.loop_thread = LoopThread()
    context.add_cleanup(context.loop_thread.close)
    context.hosts = []

    async def begin():
        context.store, unavailable_store = StandInStore(), StandInStore()
        unavailable_store.refusal_status = 503
        await context.store.start()
        await unavailable_store.start()
        await context.store.write(
            "config", "main", make_configuration(1, DEFAULT_ROUTES)
        )
        connected_settings = make_settings(context.store.port, "near")
        await start_host(context, connected_settings)
        disconnected_settings = make_settings(
            unavailable_store.port, "far", seeds=connected_settings.listen.peers
        )
        context.disconnected_host = await start_host(context, disconnected_settings)

    context.loop_thread.run(begin())
    context.add_cleanup(
        lambda: [context.loop_thread.run(h.close()) for h in context.hosts]
    )


@when("the operator writes to the store that one host reaches")
def when_configuration_written(context):
    """Write a newer configuration."""
    cfg = make_configuration(2, DEFAULT_ROUTES)
    context.loop_thread.run(context.store.write("config", "main", cfg))


@then("the other host applies the change within {seconds:g} s")
def then_other_host_updated(context, seconds):
    """Check that the change reaches the host through its peer."""

    def has_version():
        cfg = context.disconnected_host._view.configuration
        return cfg is not None and cfg.version == 2

    context.loop_thread.run(wait_until(has_version, seconds))


LOG_LINES = """\
-3.1 host-1 starting
{"event":301,"topic":"servers","revision":9,"reason":"The store answered 503.",\
"timestamp":100.0,"message_type":"damasktally:store-lost"}
{"event":510,"request":"r-7","status":503,"reason":"no-room","route":"pay",\
"customer":"acme","service":"svc","configuration":3,"servers_revision":9,"ms":12.5,\
"caller_gone":false,"attempts":[["s-1","not-run",8.1]],"timestamp":101.5,\
"message_type":"damasktally:request-ended"}
{"event":510,"broken
"""


@given("log lines of a host where the store was lost and a request was refused")
def given_log_lines(context):
    """Prepare log lines of a host, among them some that are not JSON."""
    context.lines = LOG_LINES.splitlines()


@then("the explanation of that request has its reason, attempts and the lost store")
def then_request_explained(context):
    """Check the lines of the explanation."""
    explanation = explain_request("r-7", context.lines)
    assert "no-room" in explanation[0] and "503" in explanation[0], explanation
    assert "Server s-1: not-run after 8.1 ms." in explanation
    assert explanation[-1].startswith("1.50 s before: store-lost"), explanation


FORWARDED_LINES = """\
{"event":520,"service":"svc","server":"s-1","error":"not-sent","servers":8,\
"timestamp":100.0,"message_type":"damasktally:service-unreachable"}
{"event":510,"request":"r-7","status":200,"reason":"answered","route":"pay",\
"customer":"acme","service":"svc","configuration":3,"servers_revision":9,"ms":12.5,\
"caller_gone":false,"attempts":[["host h-2","answered",9.5]],"timestamp":101.5,\
"message_type":"damasktally:request-ended"}
"""


@given("log lines of a host that reached no server and forwarded a request")
def given_forwarded_lines(context):
    """Prepare log lines of a host that is cut off from servers."""
    context.lines = FORWARDED_LINES.splitlines()


@then("the explanation of that request names the other host and the lost service")
def then_forwarding_explained(context):
    """Check the lines of the explanation."""
    explanation = explain_request("r-7", context.lines)
    assert "Other host h-2: answered after 9.5 ms." in explanation, explanation
    assert explanation[-1].startswith("1.50 s before: service-unreachable"), explanation


REMOVED_LINES = """\
{"event":200,"topic":"servers","revision":121,"source":"h-2","version":7,\
"behind_s":0.2,"detail":"s-1 removed, in use for 1.90 s more","timestamp":100.0,\
"message_type":"damasktally:view-changed"}
{"event":510,"request":"r-7","status":200,"reason":"answered","route":"pay",\
"customer":"acme","service":"svc","configuration":7,"servers_revision":121,"ms":12.5,\
"caller_gone":false,"attempts":[["s-1","answered",9.5]],"removed_s":{"s-1":1.46},\
"timestamp":101.5,"message_type":"damasktally:request-ended"}
"""


@given("log lines of a host that used a server after its registration was removed")
def given_removed_lines(context):
    """Prepare log lines of a host that keeps a server for a while."""
    context.lines = REMOVED_LINES.splitlines()


@then("the explanation of that request names the server and the age of the removal")
def then_removal_explained(context):
    """Check the lines of the explanation."""
    explanation = explain_request("r-7", context.lines)
    expected = "Server s-1 was in use although its registration had been removed"
    assert f"{expected} 1.46 s before." in explanation, explanation
    assert "s-1 removed, in use for 1.90 s more" in explanation[-1], explanation


@then("an id that is not in the log is reported as not found")
def then_unknown_request(context):
    """Check a request id that does not occur in the log."""
    assert explain_request("r-8", context.lines) == []


@then("each reason has a word and a meaning and is used in the code")
def then_reasons_described(context):
    """Check that every reason is described and that none is unused."""
    modules = (ROOT / "damasktally" / "entry").rglob("*.py")
    source = "".join(module.read_text() for module in modules)
    for reason in Reason:
        assert reason.meaning and reason.value == reason.value.lower()
        assert f"Reason.{reason.name}" in source, reason


@then("a version that withdraws 2 keys, drops a route and lowers a rate is described")
def then_configuration_change_described(context):
    """Check the description of a change, and that it contains no key."""
    old = decode_configuration(make_configuration(1, DEFAULT_ROUTES))
    tenants = [{"Name": "acme", "ApiKeys": [], "RatePerS": 5, "Burst": 5}]
    new = decode_configuration(
        make_configuration(2, DEFAULT_ROUTES[1:], Tenants=tenants)
    )
    assert describe_change(old, new) == (
        "version 2: routes removed read; customers with other limits acme; "
        "2 keys withdrawn"
    )
    assert "k-1" not in describe_change(None, old)
    assert describe_change(old, old).endswith("nothing that matters here")


@then(
    "a version that adds {routes:d} routes is described in at most {length:d} "
    "characters"
)
def then_description_bounded(context, routes, length):
    """Check that the first names and the number of the others are given."""
    added = [make_route(f"r-{number:04}", f"/{number}/") for number in range(routes)]
    old = decode_configuration(make_configuration(1, DEFAULT_ROUTES))
    new = decode_configuration(make_configuration(2, [*DEFAULT_ROUTES, *added]))
    detail = describe_change(old, new)
    assert len(detail) <= length, len(detail)
    assert "r-0000" in detail and f"{routes - 10} more" in detail, detail


def find_logged(context, event, **fields):
    """Return the logged records of an event with some fields."""
    return [
        record
        for record in context.logged
        if record.get("event") == event.number
        and all(record.get(name) == value for name, value in fields.items())
    ]


@then("the other host logged version 2, its source and how long it was behind")
def then_version_logged(context):
    """Look for the line of the host that got the version from its peer."""
    changes = find_logged(context, VIEW_CHANGED, topic="configuration", version=2)
    replicated = [item for item in changes if item["source"] != "store"]
    assert replicated and replicated[0]["behind_s"] < 2.0, changes


@when("a caller asks the other host for a route that no version has")
def when_missing_route(context):
    """Send a request that no route takes."""
    port = port_of(context.disconnected_host._settings, "callers")
    request = send_request(port, "/none/1", request_id="r-none")
    context.answer = context.loop_thread.run(request)
    assert context.answer.status == 404


@then("the line of that request has the configuration's age and the newest revision")
def then_age_logged(context):
    """Check the inputs of the decision."""
    records = find_logged(context, REQUEST_ENDED, request="r-none")
    revision = context.disconnected_host._view.revisions[Topic.CONFIGURATION]
    inputs = records[0]["inputs"]
    assert 0.0 <= inputs["configuration age s"] < 5.0, inputs
    assert inputs["revision"] == inputs["newest heard"] == revision, inputs
    assert inputs["behind for s"] == 0.0, inputs


@when("a third host starts while no store is available")
def when_third_host_starts(context):
    """Start a host that can get the configuration from a peer only."""

    async def begin():
        first = context.hosts[0]
        first_peer_address = first._settings.listen.peers
        # The first host registers before it lists the store's objects; it must have
        # the configuration before it can send it to a peer.
        await wait_until(lambda: first._view.configuration is not None)
        context.store.refusal_status = 503
        settings = make_settings(context.store.port, "third", seeds=first_peer_address)
        context.third = await start_host(context, settings)

    context.loop_thread.run(begin())


@then("the third host has the configuration within {seconds:g} s")
def then_third_host_updated(context, seconds):
    """Check that the view came from a peer."""
    has_configuration = lambda: context.third._view.configuration is not None
    context.loop_thread.run(wait_until(has_configuration, seconds))
