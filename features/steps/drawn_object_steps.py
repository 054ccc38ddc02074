"""Steps that draw what stored objects and messages of other hosts may hold."""

import json
from time import time

import msgspec
from behave import then
from entry_harness import DEFAULT_ROUTES, StandInServer, make_configuration
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from damasktally.entry.blocked_requests import decode_block
from damasktally.entry.leases.messages import LeaseEnd, LeaseReply, LeaseRequest
from damasktally.entry.state_messages import (
    StateRequest,
    StateResponse,
    decode_response,
    encode_response,
)
from damasktally.errors import DECODING_ERRORS, DamasktallyError
from damasktally.fleet.members import Heartbeat
from damasktally.fleet.model import Member
from damasktally.fleet.summaries import RelaySummary
from damasktally.platform.codec import (
    decode_configuration,
    decode_member,
    decode_server,
    encode_member,
)
from damasktally.platform.stored_objects import ObjectDecoder

PLACEHOLDER = '"<value>"'
MEMBER = Member("h-1", 1, "north", "dc-1", "127.0.0.1:1", ("127.0.0.1", 2))
SPECS = {
    "config": make_configuration(1, DEFAULT_ROUTES),
    "servers": StandInServer("s-1", port=4001).registration(),
    "damasktally-hosts": dict(encode_member(MEMBER)),
    "damasktally-blocked-requests": {"lost_ms": {"s-1@1/1": 1}},
    "evacuations": {},
}
DECODERS = {
    "config": decode_configuration,
    "servers": lambda spec: decode_server("s-1", spec),
    "damasktally-hosts": decode_member,
    "damasktally-blocked-requests": lambda spec: decode_block("f", spec, time()),
    "evacuations": lambda spec: None,
}
ALLOWED_ERRORS = (*DECODING_ERRORS, DamasktallyError)

digits = st.sampled_from([1, 19, 20, 310, 400, 4300, 5000])
signs = st.sampled_from([b"", b"-"])
numbers = st.builds(lambda sign, count: sign + b"7" * count, signs, digits)
exponents = st.builds(
    lambda sign, power: sign + b"1e%d" % power, signs, st.integers(-999, 999)
)
nestings = st.builds(
    lambda pair, depth: pair[0] * depth + b"1" + pair[1] * depth,
    st.sampled_from([(b"[", b"]"), (b'{"a":', b"}")]),
    st.sampled_from([1, 30, 40, 900, 1100, 20_000]),
)
text_parts = st.sampled_from(
    [b"\\ud800", b"\\udfff\\ud800", b"\xff", b"\xc3", b"\x00", b"\\u0000", b"[", b"}"]
    + [b"\\\\", b'\\"', b",", b":", b"\xf0\x9f\x8d\x9e", b"\n", b"\\q", b"\\u12"]
)
texts = st.builds(
    lambda parts: b'"' + b"".join(parts) + b'"', st.lists(text_parts, max_size=6)
)
duplicates = st.builds(
    lambda first, second: b'{"a":' + first + b',"a":' + second + b"}", numbers, texts
)
words = st.sampled_from([b"null", b"true", b"NaN", b"Infinity", b"nothing", b"{}"])
values = st.one_of(numbers, exponents, nestings, texts, duplicates, words)
kinds = st.sampled_from(sorted(SPECS))


def paths_of(spec, prefix=()):
    """Yield the places in an object, the object itself among them."""
    yield prefix
    items = spec.items() if isinstance(spec, dict) else ()
    if isinstance(spec, list):
        items = enumerate(spec)
    for key, value in items:
        yield from paths_of(value, (*prefix, key))


def with_placeholder(spec, path):
    """Return an object with another value at a place."""
    if not path:
        return json.loads(PLACEHOLDER)
    copy = dict(spec) if isinstance(spec, dict) else list(spec)
    copy[path[0]] = with_placeholder(spec[path[0]], path[1:])
    return copy


def make_page(kind, spec, is_list):
    """Return a response with an object between two others."""
    items = [
        {"Metadata": {"Name": name, "Rev": 7}, "Spec": content}
        for name, content in (("a", SPECS[kind]), ("b", spec), ("c", SPECS[kind]))
    ]
    if is_list:
        page = {"items": items, "More": False, "StoreRevision": 9}
    else:
        events = [{"Object": item, "Tombstone": False} for item in items]
        page = {"events": events, "StoreRevision": 9}
    return json.dumps(page).encode()


def decode_page(kind, body, is_list):
    """Return the objects of a response by name, and decode what each holds."""
    decoder = ObjectDecoder(kind, lambda kind, name: None)
    if is_list:
        objects = decoder.decode_listing(body).items
    else:
        objects = [event.Object for event in decoder.decode_events(body).events]
    for item in objects:
        # What is accepted has to be passed on to other hosts.
        msgspec.msgpack.encode(item.Spec)
        try:
            DECODERS[kind](item.Spec)
        except ALLOWED_ERRORS:
            pass
    return {item.Metadata.Name: item.Spec for item in objects}


@then("{count:d} drawn values of stored objects hide no other object")
def then_values_hide_nothing(context, count):
    """Put values into one object of a page."""

    @settings(max_examples=count, derandomize=True, deadline=None)
    @for_all(kinds, st.data(), values, st.booleans())
    def check(kind, data, value, is_list):
        path = data.draw(st.sampled_from(list(paths_of(SPECS[kind]))))
        body = make_page(kind, with_placeholder(SPECS[kind], path), is_list)
        body = body.replace(PLACEHOLDER.encode(), value)
        found = decode_page(kind, body, is_list)
        assert list(found) == ["a", "b", "c"], found
        assert found["a"] == found["c"] == SPECS[kind]

    check()


def change_bytes(data, draw):
    """Return data with some bytes replaced, removed or added."""
    changed = bytearray(data)
    for _ in range(draw(st.integers(1, 4))):
        at = draw(st.integers(0, len(changed)))
        removed = draw(st.integers(0, 3))
        changed[at : at + removed] = draw(st.binary(max_size=4) | values)
    return bytes(changed)


@then("{count:d} drawn changes of their bytes raise nothing but decoding errors")
def then_changes_are_reported(context, count):
    """Change the bytes of a whole page."""

    @settings(max_examples=count, derandomize=True, deadline=None)
    @for_all(kinds, st.data(), st.booleans())
    def check(kind, data, is_list):
        body = change_bytes(make_page(kind, SPECS[kind], is_list), data.draw)
        try:
            decode_page(kind, body, is_list)
        except DECODING_ERRORS:
            pass

    check()


def messages():
    """Return messages of other hosts, encoded, with what decodes them."""
    heartbeat = msgspec.msgpack.Decoder(Heartbeat | RelaySummary).decode
    lease = msgspec.msgpack.Decoder(LeaseRequest | LeaseReply | LeaseEnd).decode
    request = msgspec.msgpack.Decoder(StateRequest).decode
    own = dict(host="h", started_ms=1, number=1)
    encode = msgspec.msgpack.encode
    listed = StateResponse(7, specs={f"s-{n}": SPECS["servers"] for n in range(40)})
    return [
        (encode(make_heartbeat()), heartbeat),
        (encode(LeaseEnd(**own)), lease),
        (encode(StateRequest("servers", 3)), request),
        (encode_response(StateResponse(7, edits=[("s-1", None)])), decode_response),
        (encode_response(listed), decode_response),
    ]


def make_heartbeat():
    """Return a heartbeat with a value in each field that needs one."""
    samples = {int: 1, str: "a", float: 0.5, bool: False}
    fields = {}
    for item in msgspec.structs.fields(Heartbeat):
        if item.required:
            fields[item.name] = samples.get(item.type, {})
    return Heartbeat(**fields)


@then(
    "{count:d} drawn changes of messages of other hosts raise nothing but decoding "
    "errors"
)
def then_messages_are_reported(context, count):
    """Change the bytes of messages."""
    known = messages()

    @settings(max_examples=count, derandomize=True, deadline=None)
    @for_all(st.sampled_from(range(len(known))), st.data())
    def check(index, data):
        encoded, decode = known[index]
        try:
            decode(change_bytes(encoded, data.draw))
        except DECODING_ERRORS:
            pass

    check()
