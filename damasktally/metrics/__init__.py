"""Count and time what a host does, for Prometheus."""

from damasktally.metrics.registry import HostMetrics

__all__ = ["HostMetrics"]
