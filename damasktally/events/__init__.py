"""Structured log of numbered events, which ``docs/ref/events.md`` lists."""

from damasktally.events.catalogue import CATALOGUE, Event
from damasktally.events.log import emit, log_to_stream

__all__ = ["CATALOGUE", "Event", "emit", "log_to_stream"]
