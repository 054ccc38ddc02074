"""Define the metrics of an entry host, listed in ``docs/ref/entry-metrics.md``."""

from collections.abc import Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

AGE_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0)
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8)


class EntryMetrics:
    """Create an entry host's metrics in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "damasktally_entry_requests",
            "Requests by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "damasktally_entry_refusals",
            "Requests that were not forwarded, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "damasktally_entry_request_seconds",
            "Seconds from the first byte of a request to its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.retries = Counter(
            "damasktally_entry_retries",
            "Requests that were sent again, to another server.",
            registry=self.registry,
        )
        self.forwarded = Counter(
            "damasktally_entry_forwarded_requests",
            "Requests that were sent to another host, by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.limited_servers = Gauge(
            "damasktally_entry_limited_servers",
            "Backend servers that name a rate limit for all hosts together.",
            registry=self.registry,
        )
        self.diverting_servers = Gauge(
            "damasktally_entry_diverting_servers",
            "Backend servers of which a part of the objects is diverted to others.",
            registry=self.registry,
        )
        self.paused_servers = Gauge(
            "damasktally_entry_paused_servers",
            "Backend servers that asked this host for a pause that lasts.",
            registry=self.registry,
        )
        self.pauses_asked = Counter(
            "damasktally_entry_pauses_asked",
            "Refusals of servers that asked this host for a pause.",
            registry=self.registry,
        )
        self.load_report_age = Histogram(
            "damasktally_entry_load_report_age_seconds",
            "Age of the load report of the backend server that a request was sent to, "
            "if one counted when the server was chosen.",
            buckets=AGE_BUCKETS_S,
            registry=self.registry,
        )
        self.blocked_requests = Gauge(
            "damasktally_entry_blocked_requests",
            "Distinct requests that are refused because servers ended under them.",
            registry=self.registry,
        )
        self.unreachable_services = Gauge(
            "damasktally_entry_unreachable_services",
            "Services of which this host reaches no server.",
            registry=self.registry,
        )
        self.slow_routes = Gauge(
            "damasktally_entry_slow_routes",
            "Routes of which requests are refused, as the latest runs took longer than "
            "they have left.",
            registry=self.registry,
        )
        self.time_trials = Counter(
            "damasktally_entry_time_trials",
            "Attempts to send a request although the latest runs of its route took "
            "longer than it had left, by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.leases = Counter(
            "damasktally_entry_leases",
            "Leases that this host asked for, by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.lease_wait_seconds = Histogram(
            "damasktally_entry_lease_wait_seconds",
            "Seconds for which requests waited for room at a contended server.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.lease_waiting_requests = Gauge(
            "damasktally_entry_lease_waiting_requests",
            "Requests of all hosts that wait at this lease manager, by priority.",
            ["priority"],
            registry=self.registry,
        )
        self.lease_messages_dropped = Counter(
            "damasktally_entry_lease_messages_dropped",
            "Lease messages that were dropped, by cause.",
            ["cause"],
            registry=self.registry,
        )
        self._waiting_priorities: set[int] = set()
        self.lookups = Counter(
            "damasktally_entry_lookups", "Look-ups answered.", registry=self.registry
        )
        self.store_calls = Counter(
            "damasktally_entry_store_calls",
            "Calls to the platform's store, by purpose.",
            ["purpose"],
            registry=self.registry,
        )
        self.store_era_problems = Counter(
            "damasktally_entry_store_era_problems",
            "Responses of the store with a missing, unreadable or earlier era.",
            registry=self.registry,
        )
        self.unreadable_objects = Counter(
            "damasktally_entry_unreadable_objects",
            "Objects in responses of the store that could not be decoded.",
            registry=self.registry,
        )
        self.body_bytes_held = Gauge(
            "damasktally_entry_body_bytes_held",
            "Bytes of bodies that are forwarded as they arrive, and wait in the host.",
            registry=self.registry,
        )
        self.streamed_bodies = Counter(
            "damasktally_entry_streamed_bodies",
            "Bodies that were forwarded as they arrived, by direction.",
            ["direction"],
            registry=self.registry,
        )
        self.refused_for_memory = Counter(
            "damasktally_entry_refused_for_memory",
            "Requests that were refused, as the host had no memory for their bodies.",
            registry=self.registry,
        )
        self.delayed_bodies = Counter(
            "damasktally_entry_delayed_bodies",
            "Responses that had to wait until the host had memory to forward them.",
            registry=self.registry,
        )
        self.open_connections = Gauge(
            "damasktally_entry_open_connections",
            "Connections that are open at all ports for requests.",
            registry=self.registry,
        )
        self.evicted_connections = Gauge(
            "damasktally_entry_evicted_connections",
            "Connections that were closed, as a port had too many.",
            registry=self.registry,
        )
        self.evicted_requests = Gauge(
            "damasktally_entry_evicted_requests",
            "Requests that were refused while they arrived, for lack of memory.",
            registry=self.registry,
        )
        self.log_lines_left_out = Gauge(
            "damasktally_entry_log_lines_left_out",
            "Log lines that were dropped to bound the log volume.",
            registry=self.registry,
        )
        self.view_age = Gauge(
            "damasktally_entry_view_age_seconds",
            "Seconds since the store or a peer confirmed the view, by topic.",
            ["topic"],
            registry=self.registry,
        )
        self.view_lag = Histogram(
            "damasktally_entry_view_lag_seconds",
            "Seconds from the first word of another host that it has a change until "
            "the change was in force here, by topic.",
            ["topic"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.hosts_heard = Gauge(
            "damasktally_entry_hosts_heard",
            "Other hosts whose heartbeats are being received.",
            registry=self.registry,
        )

    def set_waiting(self, waiting: Mapping[int, int]) -> None:
        """Set how many requests of each priority wait at this lease manager."""
        self._waiting_priorities |= waiting.keys()
        for priority in self._waiting_priorities:
            self.lease_waiting_requests.labels(priority).set(waiting.get(priority, 0))
