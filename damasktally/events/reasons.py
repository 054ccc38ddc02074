"""Name the reasons for which a request ended, with what each means."""

from enum import Enum


class Reason(Enum):
    """Say why a request ended as it did.

    The value is the word in logs and metrics.
    """

    def __new__(cls, word: str, meaning: str) -> "Reason":
        """Keep the meaning beside the word."""
        reason = object.__new__(cls)
        reason._value_ = word
        reason.meaning = meaning
        return reason

    ANSWERED = ("answered", "a server answered, and its answer was passed on")
    ANSWER_LOST = (
        "answer-lost",
        "the server took the request and gave no whole answer",
    )
    ATTEMPTS_USED = ("attempts-used", "the route allows no further server")
    CALLER_GONE = ("caller-gone", "the caller left first")
    ENCODED_ANSWER = (
        "encoded-answer",
        "the answer was encoded, so it was not the server's own",
    )
    NO_COMMON_HOME = ("no-common-home", "route and customer share no home region")
    NO_CONFIGURATION = ("no-configuration", "the host knew no configuration yet")
    NO_ROOM = ("no-room", "the servers that its object prefers were full")
    NO_ROUTE = ("no-route", "no route of this configuration matches")
    NO_SERVER = ("no-server", "no server of the service may be used")
    OVER_RATE = ("over-rate", "the customer was beyond its rate over all hosts")
    RETRY_BUDGET_USED = (
        "retry-budget-used",
        "the service got all the repeats that it may",
    )
    SERVER_TOO_SLOW = ("server-too-slow", "the server had it until the time was up")
    TIME_IS_UP = ("time-is-up", "its time was up before a server could take it")
    UNKNOWN_KEY = ("unknown-key", "no customer of this configuration holds the key")
