"""Messages with which hosts request state from each other, and their encoding.

Each message is preceded by its length. Large responses are compressed.
"""

from asyncio import StreamReader, StreamWriter, timeout
from collections import OrderedDict
from collections.abc import Callable
from typing import Any
from zlib import compress, decompressobj
from zlib import error as CompressionError

import msgspec

from damasktally.fleet.topics import Topic

FRAME_HEADER_BYTES = 4
"""Size of the big-endian length that precedes each message."""
MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Longest message that is read; a longer one ends the transfer."""
MAX_REQUEST_BYTES = 4 * 1024
"""Longest request for state that is read. It names a topic and a revision."""
READ_BYTES = 64 * 1024
MIN_COMPRESSED_BYTES = 4096
"""Shorter responses are sent as they are."""
COMPRESSION_LEVEL = 1
"""The fastest level: routes and customers look alike and compress well at any."""
MAX_KEPT_FRAMES = 6
"""Encoded responses that are kept, as many hosts request the same one."""

FrameKey = tuple[Topic, int, int]
"""Topic, revision that the requester has, and revision that it gets."""


class StateRequest(msgspec.Struct):
    """Request a topic, or its changes after a revision.

    :param topic: value of a :class:`~damasktally.fleet.topics.Topic`.
    :param known: revision that the sender has, or 0 for the whole topic.
    :param accepts_compressed: whether the sender can read a compressed response.
    """

    topic: str
    known: int
    accepts_compressed: bool = False


class StateResponse(msgspec.Struct):
    """Hold a topic's stored objects as of a revision, or its changes up to there.

    :param revision: revision of the topic at the responding host.
    :param specs: all objects by name, or ``None`` if ``edits`` is given.
    :param edits: name and object of each change, in order; the object is ``None`` if
        it was removed.
    :param compressed: the whole response, encoded and compressed, in place of the
        other fields; empty if it is not compressed.
    """

    revision: int
    specs: dict[str, Any] | None = None
    edits: list[tuple[str, Any]] | None = None
    compressed: bytes = b""


class ResponseFrames:
    """Encode responses, compressed if they are large, once for several requests."""

    def __init__(self) -> None:
        self._frames: OrderedDict[FrameKey, bytes] = OrderedDict()

    def get(self, key: FrameKey, build: Callable[[], StateResponse]) -> bytes:
        """Return the encoded response for a key, and keep it.

        :param key: topic, revision that the requester has, and revision that it gets.
        """
        frame = self._frames.get(key)
        if frame is None:
            frame = self._frames[key] = encode_response(build())
            if len(self._frames) > MAX_KEPT_FRAMES:
                self._frames.popitem(last=False)
        return frame


def encode_response(response: StateResponse) -> bytes:
    """Encode a response, compressed if it is large."""
    data = msgspec.msgpack.encode(response)
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    compressed = compress(data, COMPRESSION_LEVEL)
    return msgspec.msgpack.encode(
        StateResponse(response.revision, compressed=compressed)
    )


def decode_response(frame: bytes) -> StateResponse:
    """Decode a response, which may be compressed.

    :raises msgspec.MsgspecError: if it is malformed.
    :raises ValueError: if it cannot be decompressed, or is too long.
    """
    response = msgspec.msgpack.decode(frame, type=StateResponse)
    if not response.compressed:
        return response
    decoder = decompressobj()
    try:
        data = decoder.decompress(response.compressed, MAX_FRAME_BYTES)
    except CompressionError as exc:
        raise ValueError(f"the response cannot be decompressed: {exc}") from exc
    if not decoder.eof:
        raise ValueError("the decompressed response is too long or incomplete")
    return msgspec.msgpack.decode(data, type=StateResponse)


async def read_frame(
    reader: StreamReader,
    first_timeout_s: float,
    idle_timeout_s: float,
    max_bytes: int = MAX_FRAME_BYTES,
) -> bytes:
    """Read a message, however long it takes, as long as bytes arrive.

    :param first_timeout_s: time until the length of the message has arrived.
    :param idle_timeout_s: time in which further bytes have to arrive.
    :param max_bytes: limit on the length of the message.
    :raises TimeoutError: if they do not.
    :raises IncompleteReadError: if the connection ends within the length.
    :raises ValueError: if the message is too long, or the connection ends within it.
    """
    async with timeout(first_timeout_s):
        header = await reader.readexactly(FRAME_HEADER_BYTES)
    length = int.from_bytes(header, "big")
    if length > max_bytes:
        raise ValueError(f"a frame of {length} bytes is too long")
    frame = bytearray()
    while len(frame) < length:
        async with timeout(idle_timeout_s):
            data = await reader.read(min(READ_BYTES, length - len(frame)))
        if not data:
            raise ValueError(f"only {len(frame)} of {length} bytes arrived")
        frame += data
    return bytes(frame)


def write_frame(writer: StreamWriter, data: bytes) -> None:
    """Write a message with its length."""
    writer.write(len(data).to_bytes(FRAME_HEADER_BYTES, "big") + data)
