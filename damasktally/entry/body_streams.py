"""Decide which bodies are forwarded as they arrive, and bound their memory."""

from damasktally.entry.final_responses import CONTENT_ENCODING, forwarded_response
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.settings import LimitsSection
from damasktally.http1.body_memory import WINDOW_BYTES, BodyMemory
from damasktally.http1.messages import Request, Response
from damasktally.http1.request_body import RequestBody
from damasktally.http1.response_memory import ResponseMemory
from damasktally.http1.response_stream import ResponseStream
from damasktally.http1.unsent_responses import UnsentResponses
from damasktally.platform.headers import NOT_RUN

MIN_TRANSFER_S = 0.01
"""Seconds that a body takes on this host's link from which on it is forwarded as it
arrives. Shorter ones are received whole, so that a lost one can be retried."""
MEMORY_FRACTION = 0.25
"""Part of the host's memory that bodies which are forwarded as they arrive may take."""
WHOLE_MEMORY_FRACTION = 1 / 16
"""Part of the host's memory beyond which no large response is received whole."""
BITS_PER_BYTE = 8
BYTES_PER_MB = 1_000_000


class BodyStreams:
    """Begin and end the bodies that are forwarded as they arrive.

    :param min_bytes: length from which on a body is forwarded as it arrives.
    :param max_whole_bytes: bytes of responses that are received whole, or wait to be
        sent after that, beyond which shorter ones are forwarded as they arrive, too.
    :param memory: bounds the bytes of these bodies in the host.
    :param received: responses that are being received whole.

    ``min_response_bytes`` is the length from which on that may be. ``unsent`` receives
    the connections at which whole responses wait to be sent.
    """

    def __init__(
        self,
        min_bytes: float,
        max_whole_bytes: float,
        memory: BodyMemory,
        received: ResponseMemory,
        metrics: EntryMetrics,
    ) -> None:
        self.min_bytes = min_bytes
        self.min_response_bytes = min(min_bytes, WINDOW_BYTES)
        self.unsent = UnsentResponses()
        self._max_whole_bytes = max_whole_bytes
        self._received = received
        self._whole_bytes: dict[int, int] = {}
        self._memory = memory
        self._metrics = metrics
        self._responses: set[ResponseStream] = set()
        self._uploads: set[RequestBody] = set()

    @classmethod
    def from_config(
        cls, limits: LimitsSection, received: ResponseMemory, metrics: EntryMetrics
    ) -> "BodyStreams":
        """Return the streams of a host with the given limits.

        :param received: responses that are being received whole.
        """
        bytes_per_s = limits.link_mbps * BYTES_PER_MB / BITS_PER_BYTE
        memory_bytes = limits.memory_mb * BYTES_PER_MB
        return cls(
            bytes_per_s * MIN_TRANSFER_S,
            memory_bytes * WHOLE_MEMORY_FRACTION,
            BodyMemory(int(memory_bytes * MEMORY_FRACTION)),
            received,
            metrics,
        )

    def open(
        self, req: Request, head: Response, length: int | None, received_bytes: int
    ) -> ResponseStream | None:
        """Begin a response that is forwarded as it arrives, unless it is small.

        :param head: a server's successful response to the request, without its body.
        :param length: bytes of its body, or ``None`` if that is unknown.
        :param received_bytes: how much of the body has arrived.
        :returns: the stream that takes the body, or ``None`` if it is received whole.
        """
        if not self._may_forward(req, head, length):
            return None
        known_bytes = received_bytes if length is None else length
        if known_bytes < self.min_bytes and not self._is_memory_short(known_bytes):
            self._whole_bytes[id(req)] = known_bytes
            return None
        stream = req.begin_stream(req, forwarded_response(head), length)
        if stream is None:
            return None
        if req.upload is not None:
            # Bodies that wait must not hold the memory that they wait for.
            self.end(req.upload)
        self._metrics.streamed_bodies.labels("response").inc()
        self._responses.add(stream)
        self._memory.request(stream.grant)
        if self._memory.is_waiting(stream.grant):
            self._metrics.delayed_bodies.inc()
        return stream

    def _may_forward(self, req: Request, head: Response, length: int | None) -> bool:
        """Return whether a response can be forwarded as it arrives at all."""
        if req.begin_stream is None or (length is None and not req.accepts_chunks):
            return False
        return head.header(NOT_RUN) is None and head.header(CONTENT_ENCODING) is None

    def _is_memory_short(self, byte_count: int) -> bool:
        """Return whether whole responses take too much memory with another one.

        Counted are those that are announced, have arrived, or wait to be sent.
        """
        announced_bytes = sum(self._whole_bytes.values())
        used_bytes = max(announced_bytes, self._received.total_bytes)
        used_bytes += self.unsent.total_bytes
        return used_bytes + byte_count > self._max_whole_bytes

    def end_whole(self, req: Request) -> None:
        """Record that no response to a request is being received whole any more."""
        self._whole_bytes.pop(id(req), None)

    def close(self, stream: ResponseStream) -> None:
        """End a response, whether it is complete or not, and release its memory."""
        self._responses.discard(stream)
        self._memory.release(stream.grant)

    def is_large(self, byte_count: int, buffered_bytes: int) -> bool:
        """Return whether the body of a request is forwarded as it arrives.

        :param byte_count: its length, or how much of it has arrived.
        :param buffered_bytes: bytes of bodies that are being received whole.
        """
        if byte_count >= self.min_bytes:
            return True
        is_short = buffered_bytes + byte_count > self._max_whole_bytes
        return is_short and byte_count >= WINDOW_BYTES

    def admit(self, body: RequestBody) -> bool:
        """Reserve memory for the body of a request.

        :returns: whether there was enough; otherwise the request is refused.
        """
        if not self._memory.try_reserve(body):
            self._metrics.refused_for_memory.inc()
            return False
        self._uploads.add(body)
        self._metrics.streamed_bodies.labels("request").inc()
        return True

    def end(self, body: RequestBody) -> None:
        """Release the memory of a request's body; more calls have no effect."""
        self._uploads.discard(body)
        self._memory.release(body)

    @property
    def held_bytes(self) -> int:
        """Return the bytes of streamed bodies that wait in the host."""
        response_bytes = sum(stream.unsent_bytes for stream in self._responses)
        return response_bytes + sum(body.waiting_bytes for body in self._uploads)
