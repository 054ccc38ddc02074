"""Implement ``watch``: print changes of objects."""

from damasktally.cli.common import PlatformUrl, open_store, report_errors
from damasktally.objects import HistoryGone
from damasktally.resources.kinds import KINDS

LONG_POLL_WAIT_S = 5.0


@report_errors
def watch(*, platform: PlatformUrl, kind: str = "", changes: int = 0) -> None:
    """Print changes of objects as the platform accepts them.

    :param kind: the kind to watch; all kinds without it.
    :param changes: number of changes after which to stop; 0 never stops.
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
