"""Follow changes."""

from damasktally.cli.common import PlatformUrl, open_store, report_errors
from damasktally.objects import HistoryGone
from damasktally.resources.kinds import KINDS

LONG_POLL_WAIT_S = 5.0


@report_errors
def watch(*, platform: PlatformUrl, kind: str = "", changes: int = 0) -> None:
    """Print changes as they are accepted.

    :param kind: only this kind; all kinds without it.
    :param changes: end after so many changes; 0 follows for ever.
    """
    store = open_store(platform)
    kinds = [kind] if kind else list(KINDS)
    last_revision = store.list_objects(kinds, "operator").revision
    printed = 0
    while not changes or printed < changes:
        try:
            page = store.watch(last_revision, kinds, LONG_POLL_WAIT_S)
        except HistoryGone:
            last_revision = store.list_objects(kinds, "operator").revision
            continue
        last_revision = page.revision
        for event in page.events:
            printed += 1
            action = "deleted" if event.deleted else "written"
            obj = event.object
            print(f"{obj.revision} {action} {obj.kind} {obj.name} by {obj.author}")
