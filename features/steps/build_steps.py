"""Steps for the build of the hosts' dependencies, with a stand-in for the installer."""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

ROOT = Path(__file__).resolve().parent.parent.parent
SITE_PACKAGES = Path(sys.prefix) / "lib" / "python3.11" / "site-packages"
PACKAGES = (
    "_pyrsistent_version.py",
    "boltons",
    "eliot",
    "httptools",
    "msgspec",
    "orjson",
    "prometheus_client",
    "pyrsistent",
    "pvectorc*",
    "zope",
)
PYTHON_STAND_IN = """#!/bin/sh
# Run Python, but copy installed packages instead of calling an installer.
if [ "$1 $2" != "-m pip" ]; then
    exec {python} "$@"
fi
echo install >> installs
while [ "$1" != "--target" ]; do shift; done
mkdir -p "$2"
cp -R packages/. "$2"
"""


@given("a copy of the build with a folder of dependencies that is {state}")
def given_build(context, state):
    """Copy what the build needs into a folder, and prepare its target."""
    context.folder = Path(tempfile.mkdtemp(prefix="build-"))
    context.add_cleanup(lambda: shutil.rmtree(context.folder))
    shutil.copytree(ROOT / "deploy", context.folder / "deploy")
    (context.folder / "damasktally").mkdir()
    packages = context.folder / "packages"
    packages.mkdir()
    for pattern in PACKAGES:
        for path in SITE_PACKAGES.glob(pattern):
            copy = shutil.copytree if path.is_dir() else shutil.copy
            copy(path, packages / path.name)
    stand_in = context.folder / "bin" / "python3"
    stand_in.parent.mkdir()
    stand_in.write_text(PYTHON_STAND_IN.format(python=sys.executable))
    stand_in.chmod(0o755)
    context.deps = context.folder / "target" / "deps"
    if state != "missing":
        build(context)
        (context.folder / "installs").unlink()
        CHANGES[state](context)


def build(context):
    """Run the build and return its exit code."""
    path = f"{context.folder / 'bin'}:{os.environ['PATH']}"
    return subprocess.run(
        ["sh", "deploy/build.sh"],
        cwd=context.folder,
        env={"PATH": path},
        capture_output=True,
        check=False,
    ).returncode


def empty_folder(context):
    """Leave nothing but the stamp that earlier versions of the build wrote."""
    shutil.rmtree(context.deps)
    context.deps.mkdir()
    (context.deps / ".installed").touch()


def edit_stamp(old, new):
    """Return a function that replaces a text in the stamp."""

    def edit(context):
        stamp = context.deps / ".built-for"
        text = stamp.read_text()
        assert old in text, text
        stamp.write_text(text.replace(old, new))

    return edit


def change_requirements(context):
    """Append a comment to the requirements."""
    with (context.folder / "deploy" / "requirements.txt").open("a") as file:
        file.write("# Changed.\n")


CHANGES = {
    "up to date": lambda context: None,
    "empty, with an earlier stamp": empty_folder,
    "of another machine": edit_stamp("linux-", "linux-other-"),
    "of another Python": edit_stamp("cpython-311", "cpython-312"),
    "of other requirements": change_requirements,
    "up to date, without one module": lambda context: shutil.rmtree(
        context.deps / "msgspec"
    ),
}
"""What happened to a folder of dependencies since it was built, by name."""


@given("an index that lacks a module")
def given_incomplete_index(context):
    """Remove a package from those that the installer copies."""
    shutil.rmtree(context.folder / "packages" / "httptools")


@when("it is built")
def when_built(context):
    """Build, and keep the exit code."""
    context.exit_code = build(context)


@then("the dependencies were installed {count:d} times")
def then_installed(context, count):
    """Count the calls of the installer."""
    assert context.exit_code == 0, context.exit_code
    installs = context.folder / "installs"
    lines = installs.read_text().splitlines() if installs.exists() else []
    assert len(lines) == count, lines


@then("the hosts' dependencies can be imported from the folder alone")
def then_importable(context):
    """Import them without the packages of this environment."""
    script = "import eliot, httptools, msgspec, prometheus_client"
    subprocess.run(
        [sys.executable, "-S", "-c", script],
        env={"PYTHONPATH": str(context.deps)},
        check=True,
    )


@then("the build fails")
def then_fails(context):
    """Check that the build failed, and left no folder that looks complete."""
    assert context.exit_code != 0
    assert not context.deps.exists()
