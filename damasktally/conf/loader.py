"""Load settings from an INI file and report all of its problems at once."""

from configparser import ConfigParser
from configparser import Error as IniError
from dataclasses import dataclass
from pathlib import Path

from pydantic import ValidationError
from result import Err, Ok, Result

from damasktally.conf.settings import Settings


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """Problem of a settings file.

    :param id: stable identifier of this kind of problem.
    :param section: section of the file; empty when the problem concerns the file.
    :param option: option in the section; empty when it concerns the section.
    """

    id: str
    file: str
    section: str
    option: str
    message: str
    remedy: str

    def __str__(self) -> str:
        where = f"{self.file}: [{self.section}] {self.option}".rstrip()
        return f"{self.id} {where}: {self.message} {self.remedy}"


ID_AND_REMEDY_BY_ERROR_TYPE = {
    "missing": ("conf.E002", "Add it."),
    "extra_forbidden": ("conf.E003", "Remove it, or correct its name."),
}
DEFAULT_ID_AND_REMEDY = (
    "conf.E004",
    "Correct the value; docs/ref/settings.md lists each.",
)


def load_settings(path: Path) -> Result[Settings, list[SettingsProblem]]:
    """Load a settings file.

    :returns: the settings, or every problem of the file.
    """
    parser = ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, IniError) as exc:
        problem = SettingsProblem(
            "conf.E001",
            str(path),
            "",
            "",
            f"The file cannot be read: {' '.join(str(exc).split())}.",
            "Check the path and that it is an INI file.",
        )
        return Err([problem])
    options_by_section = {name: dict(parser.items(name)) for name in parser.sections()}
    try:
        return Ok(Settings.model_validate(options_by_section))
    except ValidationError as exc:
        return Err([_make_problem(path, error) for error in exc.errors()])


def _make_problem(path: Path, error: dict) -> SettingsProblem:
    location = [str(part) for part in error["loc"]]
    problem_id, remedy = ID_AND_REMEDY_BY_ERROR_TYPE.get(
        error["type"], DEFAULT_ID_AND_REMEDY
    )
    return SettingsProblem(
        id=problem_id,
        file=str(path),
        section=location[0] if location else "",
        option=".".join(location[1:]),
        message=f"{error['msg']}.",
        remedy=remedy,
    )
