"""Steps that run the command line in this process, and check files and pages."""

import contextlib
import io
import json
import re
import subprocess
import sys
from pathlib import Path
from tempfile import NamedTemporaryFile

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st
from pykka import ActorRegistry
from yaml import safe_load

from damasktally.checks import run_checks
from damasktally.cli.app import build_app
from damasktally.conf import Settings, load_settings
from damasktally.demo.fleet import make_host_settings
from damasktally.entry.metrics import EntryMetrics
from damasktally.errors import DamasktallyError
from damasktally.events import CATALOGUE
from damasktally.host import Host
from damasktally.resources.files import read_objects
from damasktally.standins.memory import MemoryStore
from damasktally.standins.ports import free_port
from damasktally.standins.server import StandInPlatform

ROOT = Path(__file__).resolve().parent.parent.parent
PLATFORM_COMMANDS = (
    "apply",
    "get",
    "describe",
    "key",
    "drain",
    "audit",
    "delete",
    "watch",
)
PROCESS_START_PATTERN = (
    r"\b(subprocess|multiprocessing|shared_memory|posix_spawn|os\.fork|Popen)\b"
)


def run_cli(context, words):
    """Run a command; store its exit code and output in the context."""
    platform = getattr(context, "platform", None)
    if platform is not None and words[0] in PLATFORM_COMMANDS:
        words = [*words, "--platform", platform.url]
    out = io.StringIO()
    context.code = 0
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
        try:
            build_app()(words, result_action="return_value")
        except SystemExit as exc:
            context.code = exc.code or 0
    context.output = out.getvalue()


@when('the command "{line}" is run')
def run_command(context, line):
    run_cli(context, line.split())


@then("it ends with {code:d}")
def check_code(context, code):
    assert context.code == code, (context.code, context.output)


@then('it ends with {code:d} and prints "{text}"')
def check_output(context, code, text):
    check_code(context, code)
    assert text in context.output, context.output


@then("it ends with {code:d} and prints nothing")
def check_silent(context, code):
    check_code(context, code)
    assert context.output == "", context.output


def write_file(context, text, suffix):
    """Write a temporary file that is removed after the scenario."""
    with NamedTemporaryFile("w", suffix=suffix, delete=False) as file:
        file.write(text)
    path = Path(file.name)
    context.cleanups.append(path.unlink)
    return path


@given("a settings file with a missing, an unknown and a wrong option")
def write_bad_settings(context):
    text = (ROOT / "examples" / "masa-host.ini").read_text()
    text = text.replace("name = centro-host-1", "colour = blue")
    text = text.replace("threads = 48", "threads = many")
    context.path = write_file(context, text, ".ini")


@when("it is checked")
def check_file(context):
    run_cli(context, ["check", "-c", str(context.path)])


@then("it ends with 2 and lists {count:d} problems with id, section, option and remedy")
def check_faults(context, count):
    check_code(context, 2)
    lines = [line for line in context.output.splitlines() if "conf.E" in line]
    assert len(lines) == count, context.output
    for option in ("[host] name", "[host] colour", "[caller] threads"):
        assert any(option in line for line in lines), context.output


@given("a settings file that is not text, with {section}")
def write_binary_settings(context, section):
    context.path = write_file(context, "", ".ini")
    context.path.write_bytes(b"\xff\xfe" + section.encode())


@given('the deploy template with "{text}" in place of "{before}"')
def change_template(context, text, before):
    template = (ROOT / "deploy" / "host.ini.template").read_text(encoding="utf-8")
    assert before in template, before
    context.path = write_file(context, template.replace(before, text), ".ini")


@given('the deploy template with leases, and "{text}" in place of "{before}"')
def change_template_with_leases(context, text, before):
    template = (ROOT / "deploy" / "host.ini.template").read_text(encoding="utf-8")
    template = template.replace("; leases =", "leases =")
    assert before in template, before
    context.path = write_file(context, template.replace(before, text), ".ini")


@then("it ends with {code:d} and reports {what}")
def check_reports(context, code, what):
    check_code(context, code)
    assert what in context.output, context.output


@given("the settings of an example with {option} set to {value}")
def change_setting(context, option, value):
    loaded = load_settings(ROOT / "examples" / "masa-host.ini").ok_value
    values = loaded.model_dump()
    section, name = option.split(".")
    values[section][name] = value
    context.settings = Settings.model_validate(values)


@then("the check {number} finds it")
def check_found_by(context, number):
    found = [message.id for message in run_checks(context.settings)]
    assert found == [number], found


@then("{count:d} free ports are distinct and below the ports of outgoing connections")
def check_ports(context, count):
    kernel = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
    first = int(kernel.split()[0])
    ports = {free_port() for _ in range(count)}
    assert len(ports) == count, len(ports)
    assert max(ports) < first, (max(ports), first)


@given("a platform for the command line")
def start_platform(context):
    context.platform = StandInPlatform(MemoryStore())
    context.platform.start()
    context.cleanups.append(context.platform.stop)


@given("a platform for the command line that has stopped")
def stop_platform(context):
    start_platform(context)
    context.platform.stop()


@given("a file with one valid and one invalid object")
def write_mixed_file(context):
    text = "kind: Customer\nname: a\nspec: {rate: 1, burst: 1}\n---\n"
    text += "kind: Customer\nname: b\nspec: {rate: -1, burst: 1}\n"
    context.path = write_file(context, text, ".yaml")


@when("that file is applied")
def apply_written_file(context):
    run_cli(context, ["apply", "-f", str(context.path)])


@then("it ends with 2 and nothing was written")
def check_nothing_written(context):
    check_code(context, 2)
    assert context.platform.store.revision == 0


@then("{a:d} random INI files and {b:d} random object files load or name a remedy")
def fuzz_files(context, a, b):
    texts = st.text(st.characters(codec="utf-8")) | st.lists(
        st.sampled_from(["[host]", "name = x", "= 1", "- a: b", "kind: Key", "---"])
    ).map("\n".join)
    path = write_file(context, "", ".any")

    @seed(1)
    @settings(max_examples=a, database=None, deadline=None)
    @for_all(texts)
    def loads(text):
        path.write_text(text, encoding="utf-8")
        loaded = load_settings(path)
        assert loaded.is_err() and all(p.remedy for p in loaded.err_value)

    @seed(2)
    @settings(max_examples=b, database=None, deadline=None)
    @for_all(texts)
    def reads(text):
        path.write_text(text, encoding="utf-8")
        try:
            read_objects(path)
        except DamasktallyError as exc:
            assert exc.remedy

    loads()
    reads()


@then("the generated pages are current")
def check_pages(context):
    for script in ("gen_ref.py", "gen_examples.py"):
        command = [sys.executable, str(ROOT / "scripts" / script), "--check"]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        assert done.returncode == 0, done.stdout + done.stderr


@then("every link in README and docs leads to a file")
def check_links(context):
    pages = [ROOT / "README.md", *ROOT.glob("docs/**/*.md")]
    assert len(pages) > 10
    for page in pages:
        prose = re.sub(r"`[^`]*`", "", page.read_text())
        for target in re.findall(r"\]\(([^)#]+)[^)]*\)", prose):
            if "://" not in target:
                assert (page.parent / target).exists(), f"{page}: {target}"


@then("the events' numbers are unique and each is used")
def check_events(context):
    numbers = [event.number for event in CATALOGUE]
    assert len(set(numbers)) == len(numbers)
    code = "".join(p.read_text() for p in (ROOT / "damasktally").glob("**/*.py"))
    for event in CATALOGUE:
        constant = event.name.upper().replace("-", "_")
        if event.name == "audit-write-failed":
            constant = "AUDIT_GAP"
        assert code.count(constant) >= 3, f"{constant} is never emitted"


@given("a host's registry of metrics")
def make_registry(context):
    config = make_host_settings("h1", "r", "d", "http://127.0.0.1:1", "r")
    host = Host.from_config(config)
    context.cleanups.append(ActorRegistry.stop_all)
    metrics = [
        *host.metrics.registry.collect(),
        *EntryMetrics().registry.collect(),
    ]
    context.metrics = {sample.name for metric in metrics for sample in metric.samples}
    # A counter with labels has no sample before its first count.
    context.metrics |= {f"{metric.name}_total" for metric in metrics}


@then("every metric of the alert rules and the dashboard is in it")
def check_metrics(context):
    for name in ("alerts.yaml", "dashboard.json"):
        text = (ROOT / "docs" / "ops" / name).read_text()
        assert name != "dashboard.json" or json.loads(text)["panels"]
        assert name != "alerts.yaml" or safe_load(text)["groups"]
        found = set(re.findall(r"damasktally_[a-z_]+", text))
        assert len(found) > 4 and found <= context.metrics, found - context.metrics


@then("no module of the program uses a function that starts a process")
def check_no_process_start(context):
    for path in (ROOT / "damasktally").glob("**/*.py"):
        found = re.search(PROCESS_START_PATTERN, path.read_text())
        assert not found, f"{path}: {found.group()}"
