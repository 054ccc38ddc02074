"""Remember how recent requests were decided, for ``damasktally explain``."""

from collections import OrderedDict
from dataclasses import asdict, dataclass, field
from threading import Lock

MAX_RECORDS_KEPT = 2_000


@dataclass(slots=True)
class AttemptRecord:
    """Describe one try at one server.

    :param result: HTTP status, or why there was none.
    """

    server: str
    reused_connection: bool
    result: str = ""
    seconds: float = 0.0


@dataclass(slots=True)
class RequestRecord:
    """Describe how one request was decided.

    :param key: accepted, or why not.
    :param tokens: whether the customer's rate allowed it.
    :param waited_s: seconds that it waited for a slot.
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
    """Keep the newest records by request id.

    :param size: how many.
    """

    def __init__(self, max_records: int = MAX_RECORDS_KEPT) -> None:
        self._max_records = max_records
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()
        self._lock = Lock()

    def add(self, record: RequestRecord) -> None:
        """Keep a record, and drop the oldest if there are too many."""
        with self._lock:
            self._records[record.request_id] = record
            if len(self._records) > self._max_records:
                self._records.popitem(last=False)

    def find(self, request_id: str) -> dict | None:
        """Return a record as plain data, or nothing."""
        with self._lock:
            record = self._records.get(request_id)
        return asdict(record) if record is not None else None
