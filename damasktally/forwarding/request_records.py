"""Record how recent requests were handled, for ``damasktally explain``."""

from collections import OrderedDict
from dataclasses import asdict, dataclass, field
from threading import Lock

MAX_RECORDS_KEPT = 2_000


@dataclass(slots=True)
class AttemptRecord:
    """One attempt to send a request to a server.

    The fields are part of the JSON that the admin port returns.

    :param reused_connection: whether the connection had carried a request before.
    :param result: HTTP status of the forwarded response, or the reason code of the
        refusal.
    :param seconds: duration of the attempt.
    """

    server: str
    reused_connection: bool
    result: str = ""
    seconds: float = 0.0


@dataclass(slots=True)
class RequestRecord:
    """How one request was handled.

    The fields are part of the JSON that the admin port returns.

    :param key: ``accepted``, or the reason code for which the key was refused.
    :param tokens: ``taken`` from the customer's token bucket, or ``short``.
    :param outcome: ``answered``, a reason code, or the class name of the error that
        ended the response early.
    :param waited_s: seconds that the request waited for slots.
    :param seconds: duration of the request, from its head to the end of its response.
    :param bytes_in: bytes of the request's body.
    :param bytes_out: bytes of the response's body.
    """

    request_id: str
    method: str
    route: str = ""
    key: str = ""
    customer: str = ""
    tokens: str = ""
    candidates: int = 0
    passed_over: list[str] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    outcome: str = ""
    waited_s: float = 0.0
    seconds: float = 0.0
    bytes_in: int = 0
    bytes_out: int = 0


class RecentRequests:
    """Keep the records of the most recent requests by request id.

    :param max_records: number of records kept.
    """

    def __init__(self, max_records: int = MAX_RECORDS_KEPT) -> None:
        self._max_records = max_records
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()
        self._lock = Lock()

    def add(self, record: RequestRecord) -> None:
        """Add a record, and remove the oldest one if there are too many."""
        with self._lock:
            self._records[record.request_id] = record
            if len(self._records) > self._max_records:
                self._records.popitem(last=False)

    def find(self, request_id: str) -> dict | None:
        """Return a record as a dictionary, or nothing if it is not kept."""
        with self._lock:
            record = self._records.get(request_id)
        return asdict(record) if record is not None else None
