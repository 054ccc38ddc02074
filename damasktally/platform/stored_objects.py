"""Decode the objects in the store's responses.

Other programs write into the store, too. An object that cannot be decoded does not keep
the others from being read: a response that cannot be decoded as a whole is decoded
object by object.
"""

from collections.abc import Callable
from dataclasses import dataclass
from json import loads
from typing import Any

import msgspec

DECODING_ERRORS = (msgspec.MsgspecError, UnicodeError, ValueError, RecursionError)
UNREADABLE_SPEC: dict[str, Any] = {}
"""Content of an object whose name is known and whose content cannot be decoded. No
object of a kind that has content is valid with it."""

UnreadableReporter = Callable[[str, str], None]
"""Called with the kind and the name, as far as known, of an object that cannot be
decoded."""


class WireMetadata(msgspec.Struct):
    """Metadata of an object; ``Rev`` is the revision of its last change."""

    Name: str
    Rev: int = 0


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


class AnyListing(msgspec.Struct):
    """Page of a list whose objects are not decoded yet."""

    StoreRevision: int
    items: list[Any]
    More: bool = False


class AnyEvents(msgspec.Struct):
    """Response to a watch whose changes are not decoded yet."""

    StoreRevision: int
    events: list[Any]


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
        :raises ValueError: if it cannot be parsed at all.
        :raises RecursionError: if it is nested too deeply.
        """
        try:
            return msgspec.json.decode(body, type=WireListing)
        except DECODING_ERRORS:
            page = _parse(body, AnyListing)
        items = self._decode_each(page.items, WireObject)
        return WireListing(page.StoreRevision, items, page.More)

    def decode_events(self, body: bytes) -> WireEvents:
        """Decode the response to a watch, as :meth:`decode_listing` does a list."""
        try:
            return msgspec.json.decode(body, type=WireEvents)
        except DECODING_ERRORS:
            page = _parse(body, AnyEvents)
        events = self._decode_each(page.events, WireEvent)
        return WireEvents(page.StoreRevision, events)

    def _decode_each(self, items: list[Any], wire_type: Any) -> list[Any]:
        """Decode objects, or events of objects, without those that have no name."""
        decoded = [self._decode_one(item, wire_type) for item in items]
        return [item for item in decoded if item is not None]

    def _decode_one(self, item: Any, wire_type: Any) -> Any:
        """Decode an object, or an event of one; return None if it has no name."""
        try:
            decoded = msgspec.convert(item, wire_type)
            stored = getattr(decoded, "Object", decoded)
            stored.Metadata.Name.encode()
        except DECODING_ERRORS:
            self.report(self.kind, "")
            return None
        self._check_spec(stored)
        return decoded

    def _check_spec(self, item: WireObject) -> None:
        """Replace content that cannot be passed on, such as text that is no text."""
        try:
            msgspec.json.encode(item.Spec)
        except DECODING_ERRORS:
            self.report(self.kind, item.Metadata.Name)
            item.Spec = UNREADABLE_SPEC


def _parse(body: bytes, wire_type: Any) -> Any:
    """Parse a response leniently, with whatever its objects hold."""
    return msgspec.convert(loads(body.decode("utf-8", "replace")), wire_type)
