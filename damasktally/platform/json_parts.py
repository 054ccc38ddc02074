"""Split JSON text into its parts without decoding their values.

A value that no parser takes, such as a number of thousands of digits, then concerns
only the part that holds it. The text is scanned and not parsed, so that neither the
depth of its nesting nor the length of its numbers matters.
"""

import re
from json import loads

TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)
"""A string, or a character that gives the text its structure."""
MEMBER_NAME = re.compile(rb'\s*("[^"\\]*(?:\\.[^"\\]*)*")\s*:', re.DOTALL)
BRACKETS = b"[]{}"
NO_BRACKETS = bytes(set(range(256)) - set(BRACKETS))


def split_array(text: bytes) -> list[bytes]:
    """Return the elements of an array as they stand in the text.

    :raises ValueError: if it is no array.
    """
    return _split(text, b"[", b"]")


def split_object(text: bytes) -> dict[str, bytes]:
    """Return the members of an object as they stand in the text, by name.

    Of several members with the same name, the last one counts.

    :raises ValueError: if it is no object.
    """
    members = {}
    for member in _split(text, b"{", b"}"):
        found = MEMBER_NAME.match(member)
        if found is None:
            raise ValueError("a member of an object has no name")
        members[loads(found.group(1).decode())] = member[found.end() :].strip()
    return members


def is_nested_deeper(text: bytes, max_depth: int) -> bool:
    """Return whether arrays and objects may be nested deeper than a limit.

    Brackets in strings count, too, so that a text may be reported that is not.
    """
    brackets = text.translate(None, NO_BRACKETS)
    for _ in range(max_depth):
        brackets = brackets.replace(b"[]", b"").replace(b"{}", b"")
        if not brackets:
            return False
    return True


def depth(text: bytes) -> int:
    """Return how deeply arrays and objects are nested."""
    present = deepest = 0
    for token in TOKEN.finditer(text):
        if token.group() in (b"[", b"{"):
            present += 1
            deepest = max(deepest, present)
        elif token.group() in (b"]", b"}"):
            present -= 1
    return deepest


def _split(text: bytes, opening: bytes, closing: bytes) -> list[bytes]:
    """Return what commas separate between the outer brackets of a text."""
    text = text.strip()
    if not text.startswith(opening) or not text.endswith(closing):
        raise ValueError(f"the text is not within {opening!r} and {closing!r}")
    parts = []
    present, begin = 0, len(opening)
    for token in TOKEN.finditer(text):
        character = token.group()
        if character in (b"[", b"{"):
            present += 1
        elif character in (b"]", b"}"):
            present -= 1
            if present == 0 and token.end() != len(text):
                raise ValueError("the text goes on after its last bracket")
        elif character == b"," and present == 1:
            parts.append(text[begin : token.start()])
            begin = token.end()
    if present != 0:
        raise ValueError("the brackets do not match")
    last = text[begin : -len(closing)]
    return [*parts, last] if parts or last.strip() else []
