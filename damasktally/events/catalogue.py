"""Number every event that a host logs."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """Describe one kind of event.

    :param number: stable, never used again for another event.
    :param name: a short name.
    :param meaning: what happened.
    :param action: what an operator does about it.
    """

    number: int
    name: str
    meaning: str
    action: str


HOST_STARTED = Event(100, "host-started", "The process serves.", "None.")
HOST_LEAVING = Event(101, "host-leaving", "A planned stop began.", "None.")
HOST_STOPPED = Event(
    102,
    "host-stopped",
    "The process ended; the fields tell whether requests were cut.",
    "If requests were cut, raise [forwarding] stop_wait_s.",
)
VIEW_CHANGED = Event(200, "view-changed", "A newer configuration is in force.", "None.")
OBJECT_INVALID = Event(
    201,
    "object-invalid",
    "A stored object does not validate; its last valid version stays in force.",
    "Correct the object that the message names.",
)
ISOLATION_CHANGED = Event(
    300,
    "isolation-changed",
    "What this host knows of the platform changed.",
    "When it is 'isolated', mend the network to the platform's region.",
)
ROSTER_JOINED = Event(
    400, "roster-joined", "This host was added to the roster.", "None."
)
ROSTER_REMOVED = Event(
    401,
    "roster-removed",
    "This host removed members that a majority has not heard.",
    "Check the hosts that are named.",
)
ROSTER_CHANGED = Event(
    402, "roster-changed", "A new generation of the roster is known.", "None."
)
FENCED = Event(
    403,
    "fenced",
    "This host's membership is not confirmed; it spends only what it borrowed.",
    "Check the network to the platform and to the other hosts.",
)
UNFENCED = Event(404, "unfenced", "This host's membership is confirmed.", "None.")
REJOINING = Event(
    405,
    "rejoining",
    "This host was removed and joins as a new incarnation.",
    "Check whether the process was paused.",
)
SERVER_EJECTED = Event(
    500,
    "server-ejected",
    "A backend server failed repeatedly and gets no work for a while.",
    "Check the server.",
)
AUDIT_GAP = Event(
    600,
    "audit-write-failed",
    "An audit record could not be written yet; it is tried again.",
    "None, unless it lasts: then check the platform.",
)
STORE_LOST = Event(
    301,
    "store-lost",
    "The store does not answer for a topic; the last view stays in force.",
    "Check the store; other hosts pass changes on meanwhile.",
)
STORE_REGAINED = Event(
    302, "store-regained", "The store answers again for a topic.", "None."
)
FOLLOWING_STARTED = Event(
    304,
    "following-started",
    "This host follows the store, as a relay or because it hears none that does.",
    "None, unless many hosts that are no relays say so: then look at the relays.",
)
FOLLOWING_ENDED = Event(
    305,
    "following-ended",
    "This host leaves the store to the relays of its data centre.",
    "None.",
)
WATCHES_RENEWED = Event(
    303,
    "watches-renewed",
    "Watches were renewed, since the store may have forgotten them.",
    "None, unless it is often: then check what lies between host and store.",
)
PEER_LOST = Event(
    410,
    "peer-lost",
    "Another host's heartbeats stopped; callers are not sent there.",
    "Check the host that is named.",
)
PEER_REGAINED = Event(411, "peer-regained", "Another host is heard.", "None.")
RELAY_FAILED = Event(
    412,
    "relay-failed",
    "A message from or to another host could not be read or sent.",
    "Check the network between the two hosts.",
)
REQUEST_ENDED = Event(
    510,
    "request-ended",
    "A request got its final answer; the fields tell what decided it.",
    "See docs/OPERATIONS.md.",
)
SERVICE_CAPACITY = Event(
    512,
    "service-capacity",
    "The requests that a service's servers work on at once changed by a tenth or more; "
    "the fields count its usable, cold and evacuated servers.",
    "If it fell and requests are refused no-room, see which servers left or are cold.",
)
SERVER_PAUSED = Event(
    511,
    "server-paused",
    "A backend server failed requests of this host and gets none for a while.",
    "Check the server.",
)
SETTINGS_RELOADED = Event(
    110, "settings-reloaded", "SIGHUP came and the settings were read.", "None."
)
HOST_RESUMED = Event(
    111,
    "host-resumed",
    "The host was suspended; connections and the view are renewed.",
    "None.",
)
LOG_LINES_LEFT_OUT = Event(
    901,
    "log-lines-left-out",
    "Log lines were left out to keep the volume bounded.",
    "Read standard output faster, or accept the gap.",
)
ACTOR_FAILED = Event(
    900,
    "actor-failed",
    "A part of the host raised an error and went on.",
    "Report it with the traceback.",
)

CATALOGUE = tuple(
    value for value in list(globals().values()) if isinstance(value, Event)
)
