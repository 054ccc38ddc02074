"""Implement ``get``: list objects."""

from damasktally.cli.common import (
    Json,
    PlatformUrl,
    open_queries,
    print_json,
    print_table,
    report_errors,
)


@report_errors
def get(
    kind: str, name: str = "", *, platform: PlatformUrl, json: Json = False
) -> None:
    """List the objects of a kind, or one of them.

    :param kind: the objects' kind, for example Customer.
    :param name: the object's name; all objects of the kind without it.
    """
    reader = open_queries(platform)
    objects = [reader.get(kind, name)] if name else reader.list_objects(kind)
    if json:
        print_json([obj.model_dump() for obj in objects])
        return
    rows = [
        (obj.name, obj.revision, " ".join(f"{k}={v}" for k, v in obj.spec.items()))
        for obj in objects
    ]
    print_table(("NAME", "REVISION", "SPEC"), rows)
