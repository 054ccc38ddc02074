"""Write events through eliot."""

from typing import TextIO

from eliot import log_message, to_file

from damasktally.events.catalogue import Event


def log_to_stream(stream: TextIO) -> None:
    """Send all events to a stream, one JSON object a line."""
    to_file(stream)


def emit(event: Event, **fields: object) -> None:
    """Log an event.

    :param fields: plain values that describe this occurrence; never a secret.
    """
    log_message(message_type=f"damasktally:{event.name}", event=event.number, **fields)
