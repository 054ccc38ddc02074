"""Reader of files that hold one or more objects."""

from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from yaml import YAMLError, safe_load_all

from damasktally.resources.exceptions import InvalidFile
from damasktally.resources.kinds import Name

REMEDY = "Each document has kind, name and spec; see docs/ref/kinds.md."


class ObjectInFile(BaseModel):
    """Object in a file, before its spec is validated."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    kind: str
    name: Name
    spec: dict[str, Any] = Field(default_factory=dict)


def read_objects(path: Path) -> list[ObjectInFile]:
    """Read all objects of a YAML or JSON file.

    Each document of the file is an object or a list of objects; empty ones are skipped.

    :raises InvalidFile: when the file cannot be read or an object is malformed.
    """
    try:
        documents = list(safe_load_all(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, YAMLError) as exc:
        reason = " ".join(str(exc).split())
        raise InvalidFile(f"{path} cannot be read: {reason}.", REMEDY) from exc
    objects = []
    for document in documents:
        if document is None:
            continue
        items = document if isinstance(document, list) else [document]
        objects.extend(_parse_object(path, item) for item in items)
    return objects


def _parse_object(path: Path, item: object) -> ObjectInFile:
    try:
        return ObjectInFile.model_validate(item)
    except ValidationError as exc:
        errors = "; ".join(
            f"{'.'.join(str(part) for part in error['loc'])}: {error['msg']}"
            for error in exc.errors()
        )
        raise InvalidFile(f"{path}: {errors}.", REMEDY) from exc
