"""State of this host that messages report, and what was last sent."""

from dataclasses import dataclass, field

from damasktally.decisions.load_reports import LoadOutbox
from damasktally.entry.delta import DeltaSelector
from damasktally.fleet.summaries import DataCentreHosts


@dataclass(frozen=True, slots=True)
class OwnState:
    """Hold the state of this host that its heartbeats and summaries report.

    :param ready: whether callers may be sent to this host.
    :param stopped: whether the process is about to end.
    :param store_age_s: age of this host's state of the store in seconds: since it, or
        a host from which it gets changes, reached the store.
    :param unreachable_services: services of which this host reaches no server.
    :param has_lost_store: whether this host called the store lately and did not reach
        it, or got its response late.
    :param is_store_unavailable: whether its calls show that the store is unavailable.
    """

    ready: bool
    stopped: bool
    store_age_s: float
    unreachable_services: tuple[str, ...] = ()
    has_lost_store: bool = False
    is_store_unavailable: bool = False


@dataclass(slots=True)
class Outbox:
    """Hold what was last sent to the receivers of one kind of message.

    :param demand: selects the demands that the next message carries.
    :param admitted: selects the admitted counts that the next message carries.
    :param sequence: number of the last message.
    :param last_hosts: lists of hosts of the last summary.
    :param loads: the load reports that messages carried.
    """

    demand: DeltaSelector
    admitted: DeltaSelector
    sequence: int = 0
    last_hosts: list[DataCentreHosts] | None = None
    loads: LoadOutbox = field(default_factory=LoadOutbox)

    @classmethod
    def empty(cls) -> "Outbox":
        """Return an outbox from which nothing was sent yet."""
        return cls(DeltaSelector(), DeltaSelector())
