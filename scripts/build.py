"""Build ``dist/damasktally``: one executable file with its dependencies."""

import subprocess
import sys
from pathlib import Path
from shutil import rmtree

ROOT = Path(__file__).resolve().parent.parent
UNPACK_DIRECTORY = "/tmp/damasktally"
SITE_PACKAGES = ROOT / "build" / "site"
OUTPUT_FILE = ROOT / "dist" / "damasktally"
PIP_INSTALL = [
    sys.executable,
    "-m",
    "pip",
    "install",
    "--quiet",
    "--target",
    str(SITE_PACKAGES),
]


def run_command(*command: str) -> None:
    """Run a command of the build at the root of the project."""
    subprocess.run(command, check=True, cwd=ROOT)


def main() -> None:
    """Install the locked dependencies and the project, and pack them into one file."""
    rmtree(SITE_PACKAGES, ignore_errors=True)
    OUTPUT_FILE.parent.mkdir(exist_ok=True)
    run_command(*PIP_INSTALL, "--require-hashes", "--requirement", "requirements.txt")
    run_command(*PIP_INSTALL, "--no-deps", "--no-build-isolation", ".")
    shiv = str(Path(sys.executable).parent / "shiv")
    run_command(
        shiv,
        "--site-packages",
        str(SITE_PACKAGES),
        "--console-script",
        "damasktally",
        "--python",
        "/usr/bin/env python3.11",
        "--root",
        UNPACK_DIRECTORY,
        "--output-file",
        str(OUTPUT_FILE),
    )


if __name__ == "__main__":
    main()
