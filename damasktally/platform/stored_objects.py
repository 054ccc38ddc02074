"""Decode the objects in the store's responses.

Other programs write into the store, too. An object that cannot be decoded does not keep
the others from being read: a response that cannot be decoded as a whole is split, and
decoded object by object.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from damasktally.errors import DECODING_ERRORS
from damasktally.platform.json_parts import (
    depth,
    is_nested_deeper,
    split_array,
    split_object,
)

MAX_DEPTH = 32
"""Objects that are nested deeper count as unreadable: what handles them may need a
frame for each level."""
UNREADABLE_SPEC: dict[str, Any] = {}
"""Content of an object whose name is known and whose content cannot be decoded. No
object of a kind that has content is valid with it."""

UnreadableReporter = Callable[[str, str], None]
"""Called with the kind and the name, as far as known, of an object that cannot be
decoded."""


class WireMetadata(msgspec.Struct):
    """Metadata of an object, as far as it is used."""

    Name: str


class WireObject(msgspec.Struct):
    """Stored object."""

    Metadata: WireMetadata
    Spec: Any = None


class WireEvent(msgspec.Struct):
    """Change of an object. ``Tombstone`` marks a removal."""

    Object: WireObject
    Tombstone: bool = False


class WireListing(msgspec.Struct):
    """Page of a list. If ``More`` is set, the list continues after the last name."""

    StoreRevision: int
    items: list[WireObject]
    More: bool = False


class WireEvents(msgspec.Struct):
    """Response to a watch."""

    StoreRevision: int
    events: list[WireEvent]


@dataclass(frozen=True, slots=True)
class ObjectDecoder:
    """Decode the objects of one kind.

    :param kind: kind of the objects.
    :param report: called with each object that cannot be decoded.
    """

    kind: str
    report: UnreadableReporter

    def decode_listing(self, body: bytes) -> WireListing:
        """Decode a page of a list.

        Objects whose names cannot be decoded are left out; the content of others that
        cannot be decoded is :data:`UNREADABLE_SPEC`.

        :raises msgspec.MsgspecError: if the page itself cannot be decoded.
        :raises ValueError: if it is no JSON object, or lacks a field.
        """
        page = _decode_whole(body, WireListing)
        if page is not None:
            return page
        fields = split_object(body)
        items = [self._decode_object(item) for item in _split_field(fields, "items")]
        return WireListing(
            _decode_field(fields, "StoreRevision", int),
            [item for item in items if item is not None],
            "More" in fields and _decode_field(fields, "More", bool),
        )

    def decode_events(self, body: bytes) -> WireEvents:
        """Decode the response to a watch, as :meth:`decode_listing` does a list."""
        page = _decode_whole(body, WireEvents)
        if page is not None:
            return page
        fields = split_object(body)
        events = [self._decode_event(item) for item in _split_field(fields, "events")]
        return WireEvents(
            _decode_field(fields, "StoreRevision", int),
            [event for event in events if event is not None],
        )

    def decode_object(self, body: bytes) -> WireObject | None:
        """Decode the response to a call for one object.

        :returns: the object, or ``None`` if its name cannot be decoded.
        """
        return _decode_whole(body, WireObject) or self._decode_object(body)

    def _decode_event(self, text: bytes) -> WireEvent | None:
        """Decode a change of an object, or return ``None`` if it names none."""
        event = _decode_whole(text, WireEvent)
        if event is not None:
            return event
        try:
            fields = split_object(text)
            stored = self._decode_object(_field(fields, "Object"))
            is_removal = "Tombstone" in fields and _decode_field(
                fields, "Tombstone", bool
            )
        except DECODING_ERRORS:
            self.report(self.kind, "")
            return None
        return None if stored is None else WireEvent(stored, is_removal)

    def _decode_object(self, text: bytes) -> WireObject | None:
        """Decode an object, or return ``None`` if its name cannot be decoded."""
        stored = _decode_whole(text, WireObject)
        if stored is not None:
            return stored
        try:
            metadata = _decode_field(split_object(text), "Metadata", WireMetadata)
        except DECODING_ERRORS:
            self.report(self.kind, "")
            return None
        self.report(self.kind, metadata.Name)
        return WireObject(metadata, UNREADABLE_SPEC)


def _decode_whole(text: bytes, wire_type: Any) -> Any:
    """Decode a text, or return ``None`` if something in it cannot be decoded.

    What cannot be passed on to other hosts, such as a number beyond 64 bits, cannot be
    decoded either.
    """
    if is_nested_deeper(text, MAX_DEPTH) and depth(text) > MAX_DEPTH:
        return None
    try:
        decoded = msgspec.json.decode(text, type=wire_type)
        msgspec.msgpack.encode(decoded)
    except DECODING_ERRORS:
        return None
    return decoded


def _field(fields: dict[str, bytes], name: str) -> bytes:
    """Return a member of an object that was split.

    :raises ValueError: if it is missing.
    """
    text = fields.get(name)
    if text is None:
        raise ValueError(f"{name} is missing")
    return text


def _split_field(fields: dict[str, bytes], name: str) -> list[bytes]:
    return split_array(_field(fields, name))


def _decode_field(fields: dict[str, bytes], name: str, field_type: Any) -> Any:
    return msgspec.json.decode(_field(fields, name), type=field_type)
