"""Define the metrics of a host; ``docs/ref/metrics.md`` lists them."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from damasktally.forwarding.request_records import RequestRecord

LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30)
MAX_CUSTOMER_LABELS = 200
OTHER_CUSTOMERS_LABEL = "other"


class HostMetrics:
    """Metrics of one host, in a registry of its own.

    Customer labels are names, never keys. Their number is bounded: requests of further
    customers share one label.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._labelled_customers: set[str] = set()
        self._requests = Counter(
            "damasktally_requests",
            "Requests by customer and outcome.",
            ["customer", "outcome"],
            registry=self.registry,
        )
        self._request_seconds = Histogram(
            "damasktally_request_seconds",
            "Seconds from a request's head to the end of its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._slot_wait_seconds = Histogram(
            "damasktally_slot_wait_seconds",
            "Seconds that requests waited for a slot.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._retries = Counter(
            "damasktally_retries",
            "Requests sent to another server.",
            registry=self.registry,
        )
        self._lookups = Counter(
            "damasktally_lookups", "Look-ups answered.", registry=self.registry
        )

    def record_request(self, record: RequestRecord) -> None:
        """Count a request that has ended, with its duration, slot wait and retries."""
        customer = self._customer_label(record.customer)
        self._requests.labels(customer, record.outcome).inc()
        self._request_seconds.observe(record.seconds)
        self._slot_wait_seconds.observe(record.waited_s)
        if len(record.attempts) > 1:
            self._retries.inc(len(record.attempts) - 1)

    def count_lookup(self) -> None:
        """Count a look-up that was answered."""
        self._lookups.inc()

    def add_gauge(self, name: str, meaning: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape.

        :param name: name without the prefix ``damasktally_``.
        :param meaning: help text of the gauge.
        :param read: returns the value.
        """
        gauge = Gauge(f"damasktally_{name}", meaning, registry=self.registry)
        gauge.set_function(read)

    def _customer_label(self, customer: str) -> str:
        if customer in self._labelled_customers:
            return customer
        if len(self._labelled_customers) < MAX_CUSTOMER_LABELS:
            self._labelled_customers.add(customer)
            return customer
        return OTHER_CUSTOMERS_LABEL
