"""Build responses that the host sends itself instead of forwarding a request."""

from damasktally.http1.messages import Response
from damasktally.platform.headers import RETRY_AFTER

TEXT_HEADERS = [(b"content-type", b"text/plain")]


def text_response(status: int, reason: str) -> Response:
    """Return a plain-text response.

    It has no ``Retry-After`` header, so the caller cannot conclude from it that the
    request did not run.

    :param reason: reason word, used as the body.
    """
    return Response(status, list(TEXT_HEADERS), reason.encode())


def retry_later_response(status: int, reason: str, retry_after_s: float) -> Response:
    """Return a refusal that invites the caller to retry.

    It is for requests that did not run and will not run later, so that a retry never
    runs a request twice.

    :param reason: reason word, used as the body.
    :param retry_after_s: seconds after which capacity is expected to be available.
    """
    retry_after = b"%.3f" % max(0.0, retry_after_s)
    return Response(
        status, [*TEXT_HEADERS, (RETRY_AFTER, retry_after)], reason.encode()
    )
