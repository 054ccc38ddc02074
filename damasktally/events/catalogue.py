"""Catalogue of all events that a host logs."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """Kind of event.

    :param number: identifies the event; it never changes, and is never used again for
        another event.
    :param name: short name.
    :param meaning: what happened.
    :param action: what an operator should do about it.
    """

    number: int
    name: str
    meaning: str
    action: str


HOST_STARTED = Event(100, "host-started", "The process accepts requests.", "None.")
HOST_LEAVING = Event(101, "host-leaving", "A graceful shutdown began.", "None.")
HOST_STOPPED = Event(
    102,
    "host-stopped",
    "The process ended; the fields show whether requests were cut off.",
    "If requests were cut off, raise [forwarding] stop_wait_s.",
)
VIEW_CHANGED = Event(
    200, "view-changed", "A newer configuration is in effect.", "None."
)
OBJECT_INVALID = Event(
    201,
    "object-invalid",
    "A stored object is invalid; its last valid version stays in effect.",
    "Correct the object that the message names.",
)
OBJECT_UNREADABLE = Event(
    202,
    "object-unreadable",
    "An object in the store cannot be decoded. A server counts as gone; of the "
    "configuration the last version that could be decoded stays in effect.",
    "Remove the object, or correct the program that writes it.",
)
ISOLATION_CHANGED = Event(
    300,
    "isolation-changed",
    "The state of this host's connection to the platform changed.",
    "If it is 'isolated', repair the network to the platform's region.",
)
ROSTER_JOINED = Event(
    400, "roster-joined", "This host was added to the roster.", "None."
)
ROSTER_REMOVED = Event(
    401,
    "roster-removed",
    "This host removed members from which a majority receives no heartbeats.",
    "Check the hosts that the fields name.",
)
ROSTER_CHANGED = Event(
    402, "roster-changed", "This host received a new generation of the roster.", "None."
)
FENCED = Event(
    403,
    "fenced",
    "This host's membership is not confirmed; it admits only what its loans allow.",
    "Check the network to the platform and to the other hosts.",
)
UNFENCED = Event(404, "unfenced", "This host's membership is confirmed.", "None.")
REJOINING = Event(
    405,
    "rejoining",
    "This host was removed and joins again as a new incarnation.",
    "Check whether the process was suspended.",
)
SERVER_EJECTED = Event(
    500,
    "server-ejected",
    "A backend server failed repeatedly and gets no requests for a while.",
    "Check the server.",
)
AUDIT_GAP = Event(
    600,
    "audit-write-failed",
    "An audit record could not be written yet; the write is retried.",
    "None, unless it persists: then check the platform.",
)
STORE_LOST = Event(
    301,
    "store-lost",
    "The store does not respond for a topic; the last view stays in effect.",
    "Check the store; meanwhile the other hosts replicate changes.",
)
STORE_REGAINED = Event(
    302, "store-regained", "The store responds again for a topic.", "None."
)
FOLLOWING_STARTED = Event(
    304,
    "following-started",
    "This host follows the store, as a relay or because no live relay does.",
    "None, unless many hosts that are not relays log it: then check the relays.",
)
FOLLOWING_ENDED = Event(
    305,
    "following-ended",
    "This host stopped following the store; the relays of its data centre do.",
    "None.",
)
FETCHED_FROM_STORE = Event(
    309,
    "fetched-from-store",
    "Other hosts have had a change for a while and did not send it, or no relay tells "
    "of changes, so this host asks the store.",
    "None, unless it is frequent: then check the network to the relays.",
)
WATCHES_RENEWED = Event(
    303,
    "watches-renewed",
    "Watches were renewed, since the store may have lost them.",
    "None, unless it is frequent: then check the network path to the store.",
)
STORE_RESTORED = Event(
    306,
    "store-restored",
    "The store came back from an older copy, in a new era; this host keeps what it "
    "knows until the operators and the servers have written again.",
    "Check that what was written shortly before is stored again.",
)
STORE_ERA_INVALID = Event(
    307,
    "store-era-invalid",
    "A response of the store names no era, an unreadable or an earlier one; the known "
    "era stays.",
    "Check the store.",
)
REGISTERED_AGAIN = Event(
    308,
    "registered-again",
    "This host wrote its own object again after the store came back from a copy.",
    "None.",
)
STORE_OUTAGE_BEGAN = Event(
    310,
    "store-outage-began",
    "No host reaches the store, as far as this one knows. Servers whose registrations "
    "are removed meanwhile stay in use until shortly after its return.",
    "Check the store.",
)
STORE_OUTAGE_ENDED = Event(
    311,
    "store-outage-ended",
    "A host reaches the store again. Servers whose registrations expired have to "
    "register again within 2.4 s of that; later removals take effect at once.",
    "None.",
)
PEER_LOST = Event(
    410,
    "peer-lost",
    "Another host stopped, or its heartbeats did; callers are not sent to it.",
    "Check the host that the fields name.",
)
PEER_REGAINED = Event(
    411,
    "peer-regained",
    "Another host's heartbeats arrive, for the first time or again.",
    "None.",
)
RELAY_FAILED = Event(
    412,
    "relay-failed",
    "A message from or to another host could not be decoded or sent.",
    "Check the network between the two hosts.",
)
REQUEST_ENDED = Event(
    510,
    "request-ended",
    "A request got its final response; the fields show the reasons.",
    "See docs/OPERATIONS.md.",
)
SERVICE_CAPACITY = Event(
    512,
    "service-capacity",
    "The number of requests that a service can process at once changed by more than a "
    "tenth; the fields count its usable, cold and evacuated servers.",
    "If it fell and requests end with no-room, check which servers left or are cold.",
)
SERVER_PAUSED = Event(
    511,
    "server-paused",
    "A backend server failed requests of this host and gets none for a while.",
    "Check the server.",
)
SERVER_LIMIT_CHANGED = Event(
    514,
    "server-limit-changed",
    "A backend server named another rate limit for all hosts together, or none any "
    "more; the fields show the host from which this one learned it.",
    "Check the server if its limit is low.",
)
SERVER_REPORT_UNREADABLE = Event(
    515,
    "server-report-unreadable",
    "A backend server's response had headers about its state that cannot be decoded.",
    "Correct the server.",
)
REQUEST_BLOCKED = Event(
    516,
    "request-blocked",
    "Several servers ended while they ran the same request, and none answered it; "
    "hosts refuse it for a while. Its fingerprint is in the lines of its requests.",
    "Find the caller by the fingerprint, and correct the servers.",
)
REQUEST_UNBLOCKED = Event(
    519,
    "request-unblocked",
    "A request is not refused any more: a server answered it at some host, or the "
    "block expired.",
    "None.",
)
BLOCKED_REQUEST_INVALID = Event(
    518,
    "blocked-request-invalid",
    "The store's object of a blocked request cannot be decoded; it is ignored.",
    "Remove the object.",
)
SERVER_ASKED_FOR_PAUSE = Event(
    517,
    "server-asked-for-pause",
    "A backend server refused a request and named a time; it gets none until then.",
    "Check the server's load.",
)
SERVICE_UNREACHABLE = Event(
    520,
    "service-unreachable",
    "This host reaches no server of a service: several failed in a row, and none "
    "answered or accepted a connection since; the fields show the last ones.",
    "If other hosts do not log it, check this host's network; otherwise the servers.",
)
SERVICE_REACHABLE = Event(
    521,
    "service-reachable",
    "This host reaches servers of a service again.",
    "None, unless it is frequent: then check the host's network.",
)
LOSS_IGNORED = Event(
    522,
    "loss-ignored",
    "A response was lost, and it is not held against the request: connections to "
    "nearly all other servers broke, too (own-link), or the server was leaving "
    "(server-left).",
    "With own-link, check this host's network.",
)
LEASE_WAIT_ENDED = Event(
    523,
    "lease-wait-ended",
    "A request waited for room at a contended server; the fields show for how long, "
    "behind how many others, and how the wait ended.",
    "None, unless many waits end with waited-too-long: then the service needs servers.",
)
LEASE_MANAGER_SILENT = Event(
    524,
    "lease-manager-silent",
    "The host that manages the leases of a server did not reply; requests are sent "
    "without leases for the time in the fields.",
    "If it repeats, check that host and the network to it.",
)
ROUTE_TOO_SLOW = Event(
    525,
    "route-too-slow",
    "The latest runs of a route took longer than a request had left. Such requests are "
    "refused with no-time, but for a trial about once a second.",
    "Check the servers of the service; raise the timeout if the route needs more time.",
)
ROUTE_RECOVERED = Event(
    526,
    "route-recovered",
    "Requests of a route are not refused for want of time any more; the fields show "
    "how many were, and for how long.",
    "None.",
)
CALLERS_EVICTED = Event(
    527,
    "callers-evicted",
    "Connections were closed or requests refused since the last such line, to bound "
    "descriptors and memory; first those that waited or took longest.",
    "Look for callers that open many connections or never end their requests; raise "
    "[limits] if ordinary callers do.",
)
HANDLER_FAILED = Event(
    513,
    "handler-failed",
    "The handler of a request raised an error, and the caller got a 500.",
    "Report it with its traceback.",
)
SETTINGS_RELOADED = Event(
    110, "settings-reloaded", "The settings were read again after SIGHUP.", "None."
)
HOST_RESUMED = Event(
    111,
    "host-resumed",
    "The process was suspended; connections and the view are renewed.",
    "None.",
)
PORT_IN_USE = Event(
    112,
    "port-in-use",
    "Another socket uses a port of this host; the start waits up to 5 s for it.",
    "None, unless the start fails: then end the process that listens there.",
)
LOG_LINES_LEFT_OUT = Event(
    901,
    "log-lines-left-out",
    "Log lines were dropped to bound the volume.",
    "Read standard output faster, or accept the gap.",
)
ACTOR_FAILED = Event(
    900,
    "actor-failed",
    "A component of the host raised an error and continued.",
    "Report it with its traceback.",
)

CATALOGUE = tuple(
    value for value in list(globals().values()) if isinstance(value, Event)
)
