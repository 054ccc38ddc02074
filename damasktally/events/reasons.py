"""Reasons for the outcome of a request, as they occur in logs and metrics."""

from enum import Enum


class Reason(Enum):
    """Reason for the outcome of a request.

    The value is the word for it in logs and metrics; ``meaning`` explains the word.
    """

    def __new__(cls, word: str, meaning: str) -> "Reason":
        """Create a member: the word is its value, the meaning an attribute."""
        reason = object.__new__(cls)
        reason._value_ = word
        reason.meaning = meaning
        return reason

    ANSWERED = ("answered", "a server responded, and its response was forwarded")
    ANSWER_LOST = (
        "answer-lost",
        "the server received the request and sent no complete response",
    )
    ATTEMPTS_USED = ("attempts-used", "the route allows no further attempt")
    BODY_SENT = (
        "body-sent",
        "a part of the body was forwarded already, so that no other attempt follows",
    )
    CALLER_GONE = ("caller-gone", "the caller closed its connection first")
    CALLER_TOO_SLOW = (
        "caller-too-slow",
        "the caller sent its body, or read the response, too slowly",
    )
    ENCODED_ANSWER = (
        "encoded-answer",
        "the response was encoded, so it did not come from the server itself",
    )
    ENDS_SERVERS = (
        "ends-servers",
        "several servers ended while they ran the same request, and none answered it",
    )
    NO_COMMON_HOME = (
        "no-common-home",
        "the route and the customer have no home region in common",
    )
    NO_CONFIGURATION = (
        "no-configuration",
        "the host had received no configuration yet",
    )
    NO_MEMORY = (
        "no-memory",
        "the host had no memory to forward a large body as it arrives",
    )
    NO_ROOM = ("no-room", "the preferred servers for its object were at capacity")
    NO_TIME = (
        "no-time",
        "the route's latest runs took longer than the time that was left",
    )
    NO_ROUTE = ("no-route", "no route of this configuration matches the request")
    NO_SERVER = ("no-server", "the service has no usable server")
    OLDER_CONFIGURATION = (
        "older-configuration",
        "the host has an older configuration than the one that forwarded the request",
    )
    OVER_RATE = ("over-rate", "the customer exceeded its rate limit over all hosts")
    REFUSED_BY_HOST = (
        "refused-by-host",
        "the host to which it was forwarded refused it for a reason unknown here",
    )
    RETRY_BUDGET_USED = (
        "retry-budget-used",
        "the service has used up its retry budget",
    )
    SERVER_TOO_SLOW = (
        "server-too-slow",
        "the server did not respond before the deadline",
    )
    SERVERS_PAUSED = (
        "servers-paused",
        "every server that may take the request asked for a pause",
    )
    TOO_MANY_FORWARDED = (
        "too-many-forwarded",
        "the host handles as many requests of other hosts as it takes",
    )
    TIME_IS_UP = (
        "time-is-up",
        "the deadline passed before a server could take the request",
    )
    WAITED_TOO_LONG = (
        "waited-too-long",
        "it waited for room, until more urgent requests or its latest start left none",
    )
    UNKNOWN_KEY = ("unknown-key", "no customer of this configuration has this API key")
