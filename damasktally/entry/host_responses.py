"""Build the answers that this host gives itself."""

from damasktally.http1.messages import Response
from damasktally.platform.headers import RETRY_AFTER

TEXT_HEADERS = [(b"content-type", b"text/plain")]


def text_response(status: int, reason: str) -> Response:
    """Return an answer that promises nothing about whether the request ran."""
    return Response(status, list(TEXT_HEADERS), reason.encode())


def retry_later_response(status: int, reason: str, retry_after_s: float) -> Response:
    """Return a refusal of a request that did not run and never will.

    :param retry_after_s: when there is likely room, in seconds.
    """
    retry_after = b"%.3f" % max(0.0, retry_after_s)
    return Response(
        status, [*TEXT_HEADERS, (RETRY_AFTER, retry_after)], reason.encode()
    )
