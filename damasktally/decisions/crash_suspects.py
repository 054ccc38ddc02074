"""Find requests that end the servers that run them, and block them.

A request that loses its response at several server processes, and is answered by none,
is taken to end them, unless a process answers another request shortly after: it is
alive. A request is recognised by its fingerprint, at whichever host it arrives. Hosts
merge each other's entries: of an entry the earlier time and an exoneration are kept, so
that the order and the number of messages do not matter.

Requests that are blocked together are tried again, since most of them may have lost
their responses only because another one ended the servers.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from damasktally.decisions.affinity import uniform_score
from damasktally.fleet.crash_reports import CrashEntry, CrashReport

CRASHES_TO_BLOCK = 3
"""Server processes that a request may end before it is blocked."""
CONFIRMATION_S = 0.6
"""A loss counts once it is this old, so that its process may have shown to be alive."""
MIN_ALIVE_DELAY_S = 0.25
"""An answer that arrives sooner after a loss may have been sent before it."""
MAX_ALIVE_DELAY_S = 1.2
"""An answer that arrives later after a loss may be from the next process."""
CRASH_LIFETIME_S = 600.0
"""How long a loss counts, and so the longest time for which a request is blocked."""
MIN_TRIAL_DELAY_S = 5.0
MAX_TRIAL_DELAY_S = 20.0
"""A blocked request is tried this long after its newest loss, at a time that differs
between hosts, so that the outcome of a trial is known before another one."""
MAX_REPORT_AGE_S = 10.0
"""Losses of requests that are not blocked are passed on for this long."""
MAX_REPORTS_PER_MESSAGE = 16
MAX_RECENT_REPORTS_PER_MESSAGE = 8
MAX_COUNTING_PER_REPORT = 5
"""Losses in a report that are not exonerated; more than block a request, as hosts may
know of different ones."""
MAX_EXONERATED_PER_REPORT = 10
MAX_SUSPECTS = 1_000
"""Requests that are remembered; beyond, the one whose losses are unchanged for longest
is forgotten."""


_CrashKey = tuple[str, int]
"""Process and window of a loss."""


@dataclass(slots=True)
class _Crash:
    """Loss of a response.

    :param lost_at: seconds on the event loop's clock.
    :param changed_at: when this host last learned of it, of its exoneration, or of a
        host that does not know of that.
    """

    lost_at: float
    is_exonerated: bool
    changed_at: float


@dataclass(slots=True)
class _Suspect:
    """Request under which responses were lost.

    :param crashes: its losses by server process.
    :param changed_at: when one of its losses changed last.
    :param has_own_loss: whether this host lost one of the responses.
    :param newest_loss_at: when a response was lost last.
    :param answered_at: when a server answered it to this host last.
    :param tried_at: when this host tried it last although it was blocked.
    """

    crashes: dict[_CrashKey, _Crash]
    changed_at: float
    has_own_loss: bool = False
    newest_loss_at: float = -inf
    answered_at: float = -inf
    tried_at: float = -inf

    def counting_times(self) -> list[float]:
        """Return when the losses that count took place, in order."""
        return sorted(
            crash.lost_at for crash in self.crashes.values() if not crash.is_exonerated
        )

    def merge(self, entry: CrashEntry, now: float) -> None:
        """Merge one entry of this or another host."""
        lost_at = now - entry.age_s
        self.newest_loss_at = max(self.newest_loss_at, lost_at)
        key = (entry.process, entry.window)
        known = self.crashes.get(key)
        if known is None:
            known = self.crashes[key] = _Crash(lost_at, entry.is_exonerated, now)
            self.changed_at = now
        elif known.is_exonerated and not entry.is_exonerated:
            # The sender has to learn of the exoneration.
            known.changed_at = self.changed_at = now
        known.lost_at = min(known.lost_at, lost_at)
        if entry.is_exonerated or known.lost_at <= self.answered_at:
            self.exonerate(key, now)

    def record_answer(self, now: float) -> None:
        """Record that a server answered the request, so that it ended none so far."""
        self.answered_at = now
        for key in self.crashes:
            self.exonerate(key, now)

    def exonerate(self, key: _CrashKey, now: float) -> None:
        """Record that the request did not end a process."""
        crash = self.crashes[key]
        if not crash.is_exonerated:
            crash.is_exonerated = True
            crash.changed_at = self.changed_at = now


@dataclass(frozen=True, slots=True)
class BlockChanges:
    """Fingerprints of the requests whose block began or ended.

    :param ended: an answer exonerated them, or the block expired.
    """

    begun: list[str]
    ended: list[str]


class CrashSuspects:
    """Losses of responses by request and server process.

    Times called ``now`` are in seconds on the event loop's clock.

    :param own_host: name of this host.
    """

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._suspects: dict[str, _Suspect] = {}
        self._answered_at: dict[str, float] = {}
        self._known_blocked: set[str] = set()
        self._newest_loss_at = -inf

    def __len__(self) -> int:
        return len(self._suspects)

    def record_loss(
        self,
        fingerprint: str,
        process: str,
        window: int,
        now: float,
        age_s: float = 0.0,
        answered_at: float = -inf,
    ) -> None:
        """Record that a server process lost its response to a request.

        :param process: identifies the process of the server.
        :param window: number of the time in which it was lost.
        :param age_s: how many seconds ago it was lost.
        :param answered_at: when a server answered the request to this host last, as far
            as it was recorded before the loss was.
        """
        entry = CrashEntry(process, window, age_s, False)
        suspect = self._suspects.setdefault(fingerprint, _Suspect({}, now))
        suspect.answered_at = max(suspect.answered_at, answered_at)
        suspect.has_own_loss = True
        self.merge(CrashReport(fingerprint, (entry,)), now)

    def has_own_loss(self, fingerprint: str) -> bool:
        """Return whether this host lost a response to a request."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.has_own_loss

    def record_answer(self, fingerprint: str, now: float) -> None:
        """Record that a server answered a request, which exonerates it so far."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.record_answer(now)

    def record_alive(self, process: str, now: float) -> None:
        """Record that a server process answered some request."""
        self._answered_at[process] = now
        if now - self._newest_loss_at > MAX_ALIVE_DELAY_S:
            return
        for suspect in self._suspects.values():
            if now - suspect.newest_loss_at <= MAX_ALIVE_DELAY_S:
                self._exonerate_alive(suspect, now)

    def _exonerate_alive(self, suspect: _Suspect, now: float) -> None:
        """Exonerate the losses whose process answered a request shortly after."""
        for key, crash in suspect.crashes.items():
            process, _ = key
            delay_s = self._answered_at.get(process, crash.lost_at) - crash.lost_at
            if MIN_ALIVE_DELAY_S <= delay_s <= MAX_ALIVE_DELAY_S:
                suspect.exonerate(key, now)

    def merge(self, report: CrashReport, now: float) -> None:
        """Merge the losses that this host or another one learned of."""
        suspect = self._suspects.setdefault(report.fingerprint, _Suspect({}, now))
        for entry in report.entries:
            suspect.merge(entry, now)
        self._newest_loss_at = max(self._newest_loss_at, suspect.newest_loss_at)
        self._exonerate_alive(suspect, now)
        if len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[min(self._suspects, key=self._changed_at)]

    def take_block_changes(self, now: float) -> BlockChanges:
        """Return the requests whose block began or ended since the previous call."""
        blocked = {name for name in self._suspects if self.blocked_s(name, now) > 0}
        changes = BlockChanges(
            begun=sorted(blocked - self._known_blocked),
            ended=sorted(self._known_blocked - blocked),
        )
        self._known_blocked = blocked
        return changes

    def _changed_at(self, fingerprint: str) -> float:
        return self._suspects[fingerprint].changed_at

    def blocked_s(self, fingerprint: str, now: float) -> float:
        """Return for how many seconds a request stays blocked; 0 if it is not."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or len(suspect.crashes) < CRASHES_TO_BLOCK:
            return 0.0
        ends = sorted(
            crash.lost_at + CRASH_LIFETIME_S - now
            for crash in suspect.crashes.values()
            if not crash.is_exonerated and now - crash.lost_at >= CONFIRMATION_S
        )
        if len(ends) < CRASHES_TO_BLOCK:
            return 0.0
        return max(0.0, ends[-CRASHES_TO_BLOCK])

    def take_trial(self, fingerprint: str, now: float) -> bool:
        """Return whether a blocked request may be tried at one server, and count that.

        Of requests that lost responses at the same processes, most may have ended none.
        Hosts that lost a response themselves try such requests, each at its own time,
        until an answer exonerates the request or a later loss confirms the block.
        """
        suspect = self._suspects[fingerprint]
        if not suspect.has_own_loss or not self._is_ambiguous(fingerprint, now):
            return False
        lost_at = suspect.counting_times()
        is_confirmed = (
            len(lost_at) > CRASHES_TO_BLOCK
            and lost_at[-1] - lost_at[-2] >= MIN_TRIAL_DELAY_S - CONFIRMATION_S
        )
        share = uniform_score(self._own_host, fingerprint.encode())
        delay_s = MIN_TRIAL_DELAY_S + share * (MAX_TRIAL_DELAY_S - MIN_TRIAL_DELAY_S)
        if is_confirmed or now - max(lost_at[-1], suspect.tried_at) < delay_s:
            return False
        suspect.tried_at = now
        return True

    def _is_ambiguous(self, fingerprint: str, now: float) -> bool:
        """Return whether another blocked request lost a response at its processes."""
        own = self._suspects[fingerprint].crashes.keys()
        return any(
            name != fingerprint
            and not own.isdisjoint(suspect.crashes)
            and self.blocked_s(name, now) > 0
            for name, suspect in self._suspects.items()
        )

    def blocked_count(self, now: float) -> int:
        """Return the number of requests that are blocked."""
        return sum(self.blocked_s(name, now) > 0 for name in self._suspects)

    def reports(self, now: float) -> Iterator[CrashReport]:
        """Return the losses to pass on: those that changed lately, then blocked ones.

        If more requests are blocked than a message holds, they take turns.
        """
        recent = [
            name
            for name, suspect in self._suspects.items()
            if now - suspect.changed_at <= MAX_REPORT_AGE_S
        ]
        recent.sort(key=self._changed_at, reverse=True)
        names = recent[:MAX_RECENT_REPORTS_PER_MESSAGE]
        blocked = [
            name
            for name in self._suspects
            if name not in names and self.blocked_s(name, now) > 0
        ]
        first = int(now) % len(blocked) if blocked else 0
        names += blocked[first:] + blocked[:first]
        for name in names[:MAX_REPORTS_PER_MESSAGE]:
            yield self.report(name, now)

    def report(self, fingerprint: str, now: float) -> CrashReport:
        """Return the losses of a known request that changed last.

        Those that count are bounded apart from those that are exonerated, so that
        neither displaces the other.
        """
        crashes = sorted(
            self._suspects[fingerprint].crashes.items(),
            key=lambda item: item[1].changed_at,
            reverse=True,
        )
        entries = [
            CrashEntry(
                process, window, round(now - crash.lost_at, 2), crash.is_exonerated
            )
            for (process, window), crash in crashes
        ]
        counting = [entry for entry in entries if not entry.is_exonerated]
        exonerated = [entry for entry in entries if entry.is_exonerated]
        chosen = (
            counting[:MAX_COUNTING_PER_REPORT] + exonerated[:MAX_EXONERATED_PER_REPORT]
        )
        return CrashReport(fingerprint, tuple(chosen))

    def remove_expired(self, now: float) -> None:
        """Remove the losses and the answers that do not count any more.

        A request that may have been blocked is remembered until its losses expire,
        as a host that was cut off may not know that it was exonerated.
        """
        for process, answered_at in list(self._answered_at.items()):
            if now - answered_at > MAX_ALIVE_DELAY_S:
                del self._answered_at[process]
        for fingerprint, suspect in list(self._suspects.items()):
            for key, crash in list(suspect.crashes.items()):
                if now - crash.lost_at > CRASH_LIFETIME_S:
                    del suspect.crashes[key]
            is_passed_on = now - suspect.changed_at > MAX_REPORT_AGE_S
            may_be_blocked = len(suspect.crashes) >= CRASHES_TO_BLOCK
            is_exonerated = all(
                crash.is_exonerated for crash in suspect.crashes.values()
            )
            if is_passed_on and is_exonerated and not may_be_blocked:
                del self._suspects[fingerprint]
