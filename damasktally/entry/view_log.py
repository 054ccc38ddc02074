"""Log the changes of the fleet view."""

from damasktally.events import emit
from damasktally.events.catalogue import VIEW_CHANGED
from damasktally.fleet.model import era_of, revision_in_era
from damasktally.fleet.view_changes import ViewChange


def log_view_change(change: ViewChange) -> None:
    """Log a change with its revision and era, and where it came from."""
    emit(
        VIEW_CHANGED,
        topic=change.topic.value,
        revision=revision_in_era(change.revision),
        era=era_of(change.revision),
        source=change.source,
        version=change.version,
        behind_s=round(change.behind_s, 2),
        detail=change.detail,
    )
