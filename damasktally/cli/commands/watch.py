"""Follow changes."""

from damasktally.cli.common import PlatformUrl, explained, open_store
from damasktally.objects import HistoryGone
from damasktally.resources.kinds import KINDS

WAIT_S = 5.0


@explained
def watch(*, platform: PlatformUrl, kind: str = "", changes: int = 0) -> None:
    """Print changes as they are accepted.

    :param kind: only this kind; all kinds without it.
    :param changes: end after so many changes; 0 follows for ever.
    """
    store = open_store(platform)
    kinds = [kind] if kind else list(KINDS)
    bookmark = store.list_objects(kinds, "operator").revision
    seen = 0
    while not changes or seen < changes:
        try:
            page = store.watch(bookmark, kinds, WAIT_S)
        except HistoryGone:
            bookmark = store.list_objects(kinds, "operator").revision
            continue
        bookmark = page.revision
        for event in page.events:
            seen += 1
            action = "deleted" if event.deleted else "written"
            obj = event.object
            print(f"{obj.revision} {action} {obj.kind} {obj.name} by {obj.author}")
