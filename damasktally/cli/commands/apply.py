"""Implement ``apply``: create or replace objects from a file."""

from difflib import unified_diff
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter
from yaml import safe_dump

from damasktally.cli.common import (
    PlatformUrl,
    open_commands,
    open_queries,
    report_errors,
)
from damasktally.objects import NotFound, StoredObject
from damasktally.resources.files import ObjectInFile, read_objects
from damasktally.resources.kinds import parse_spec


@report_errors
def apply(
    file: Annotated[Path, Parameter(name=["--file", "-f"])],
    *,
    platform: PlatformUrl,
    dry_run: Annotated[bool, Parameter(name="--dry-run", negative="")] = False,
) -> None:
    """Apply every object of a file; write nothing if one of them is invalid.

    :param file: YAML or JSON documents with kind, name and spec.
    :param dry_run: print what would change and write nothing.
    """
    objects = read_objects(file)
    for obj in objects:
        parse_spec(StoredObject(kind=obj.kind, name=obj.name, spec=obj.spec))
    if dry_run:
        for obj in objects:
            _print_diff(platform, obj)
        return
    writer = open_commands(platform)
    for obj in objects:
        stored = writer.apply(obj.kind, obj.name, obj.spec)
        print(f"{obj.kind} {obj.name}: revision {stored.revision}")


def _print_diff(platform: str, obj: ObjectInFile) -> None:
    try:
        stored_spec = open_queries(platform).get(obj.kind, obj.name).spec
    except NotFound:
        stored_spec = {}
    lines = unified_diff(
        safe_dump(stored_spec).splitlines(),
        safe_dump(obj.spec).splitlines(),
        f"{obj.kind}/{obj.name} stored",
        f"{obj.kind}/{obj.name} file",
        lineterm="",
    )
    for line in lines:
        print(line)
