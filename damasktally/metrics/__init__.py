"""Export the metrics of a host to Prometheus."""

from damasktally.metrics.registry import HostMetrics

__all__ = ["HostMetrics"]
