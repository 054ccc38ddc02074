"""Decide which bodies are forwarded as they arrive, and bound their memory."""

from damasktally.entry.final_responses import CONTENT_ENCODING, forwarded_response
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.settings import LimitsSection
from damasktally.http1.body_memory import BodyMemory
from damasktally.http1.messages import Request, Response
from damasktally.http1.request_body import RequestBody
from damasktally.http1.response_stream import ResponseStream
from damasktally.platform.headers import NOT_RUN

MIN_TRANSFER_S = 0.01
"""Seconds that a body takes on this host's link from which on it is forwarded as it
arrives. Shorter ones are received whole, so that a lost one can be retried."""
MEMORY_FRACTION = 0.25
"""Part of the host's memory that bodies which are forwarded as they arrive may take."""
BITS_PER_BYTE = 8
BYTES_PER_MB = 1_000_000


class BodyStreams:
    """Begin and end the bodies that are forwarded as they arrive.

    :param min_bytes: length from which on a body is forwarded as it arrives.
    :param memory: bounds the bytes of these bodies in the host.
    """

    def __init__(
        self, min_bytes: float, memory: BodyMemory, metrics: EntryMetrics
    ) -> None:
        self.min_bytes = min_bytes
        self._memory = memory
        self._metrics = metrics
        self._responses: set[ResponseStream] = set()
        self._uploads: set[RequestBody] = set()

    @classmethod
    def from_config(cls, limits: LimitsSection, metrics: EntryMetrics) -> "BodyStreams":
        """Return the streams of a host with the given limits."""
        bytes_per_s = limits.link_mbps * BYTES_PER_MB / BITS_PER_BYTE
        memory = BodyMemory(int(limits.memory_mb * BYTES_PER_MB * MEMORY_FRACTION))
        return cls(bytes_per_s * MIN_TRANSFER_S, memory, metrics)

    def open(self, req: Request, head: Response, length: int) -> ResponseStream | None:
        """Begin a response that is forwarded as it arrives, unless it is small.

        :param head: a server's successful response to the request, without its body.
        :param length: bytes of its body.
        :returns: the stream that takes the body, or ``None`` if it is received whole.
        """
        if length < self.min_bytes or req.begin_stream is None:
            return None
        if head.header(NOT_RUN) is not None:
            return None
        if head.header(CONTENT_ENCODING) is not None:
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

    def close(self, stream: ResponseStream) -> None:
        """End a response, whether it is complete or not, and release its memory."""
        self._responses.discard(stream)
        self._memory.release(stream.grant)

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
