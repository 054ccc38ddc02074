"""Check that a folder holds the dependencies of an entry host, for this machine.

``check FOLDER`` exits with 0 if the folder was built for this machine, this version of
Python and the present requirements, and with 1 otherwise. ``stamp FOLDER`` records what
a folder was built for; it fails if something in it cannot be imported. Run it with the
options ``-I -S``, so that no other installed packages are found.
"""

import platform
import sys
import sysconfig
from hashlib import sha256
from importlib import import_module
from pathlib import Path

REQUIREMENTS = Path(__file__).with_name("requirements.txt")
STAMP_NAME = ".built-for"


def required_modules() -> list[str]:
    """Return the names of the modules that the requirements provide."""
    lines = REQUIREMENTS.read_text(encoding="utf-8").splitlines()
    requirements = [line for line in lines if line and not line.startswith("#")]
    return [line.partition("==")[0].strip() for line in requirements]


def describe_target() -> str:
    """Return what a folder that is built now is good for, as text for its stamp."""
    digest = sha256(REQUIREMENTS.read_bytes()).hexdigest()
    parts = [
        sysconfig.get_platform(),
        platform.libc_ver()[0],
        sys.implementation.cache_tag,
        digest,
    ]
    return " ".join(parts) + "\n"


def can_import(folder: Path) -> bool:
    """Return whether all dependencies can be imported, and name one that cannot."""
    sys.path.insert(0, str(folder.resolve()))
    for name in required_modules():
        try:
            import_module(name)
        except ImportError as exc:
            print(f"{name} cannot be imported from {folder}: {exc}", file=sys.stderr)
            return False
    return True


def check(folder: Path) -> bool:
    """Return whether a folder can be used as it is."""
    stamp = folder / STAMP_NAME
    if not stamp.is_file():
        return False
    is_current = stamp.read_text(encoding="utf-8") == describe_target()
    return is_current and can_import(folder)


def write_stamp(folder: Path) -> bool:
    """Record what a folder was built for.

    :returns: whether its dependencies can be imported; if not, nothing is recorded.
    """
    if not can_import(folder):
        return False
    (folder / STAMP_NAME).write_text(describe_target(), encoding="utf-8")
    return True


def main() -> int:
    """Run the command that the arguments name, and return the exit code."""
    commands = {"check": check, "stamp": write_stamp}
    name, folder = sys.argv[1:]
    return 0 if commands[name](Path(folder)) else 1


if __name__ == "__main__":
    sys.exit(main())
