"""Log numbered events; ``docs/ref/events.md`` is their catalogue."""

from damasktally.events.catalogue import CATALOGUE, Event
from damasktally.events.log import emit, log_to_stream

__all__ = ["CATALOGUE", "Event", "emit", "log_to_stream"]
