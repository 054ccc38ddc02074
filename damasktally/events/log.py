"""Output of events, as eliot messages."""

from typing import TextIO

from eliot import log_message, to_file

from damasktally.events.catalogue import Event


def log_to_stream(stream: TextIO) -> None:
    """Write all events to a stream, as one JSON object per line."""
    to_file(stream)


def emit(event: Event, **fields: object) -> None:
    """Log an event.

    :param event: the kind of event.
    :param fields: JSON values that describe this occurrence. They must not contain
        secrets.
    """
    log_message(message_type=f"damasktally:{event.name}", event=event.number, **fields)
