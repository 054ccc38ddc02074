"""Steps that replace the hosts of a fleet by another version, under load."""

import subprocess
import sys
import tempfile
from asyncio import run
from collections import Counter
from pathlib import Path
from random import Random

from behave import given, then, when
from fault_soak.checks import find_violations, runs_of
from fault_soak.fleet import SoakFleet
from fault_soak.log_checks import (
    count_sources_of_last_configuration,
    find_log_problems,
)
from fault_soak.releases import COMMIT_OF_0_8_0, PRESENT, extract_release
from fault_soak.replacement import (
    LIMITED_CUSTOMER,
    RATE,
    Replacement,
    find_configuration_violations,
    find_rate_violations,
    requests_within_limits,
)

SERVER_COUNT = 6
SEED = 7
MIN_SERVED_RATIO = 0.995
"""A host may close a connection at the moment in which a request is sent on it. In
trials with one version, all of 1,500 to 2,000 requests were served."""
MIN_RATE_RATIO = 0.8
MAX_WAIT_S = 2.0
"""A caller always finds a host that takes requests. Its pauses are 0.04 s on average,
and 0.5 s at most with a probability of 1 in 250,000."""


def get_release(context, name):
    """Return a version by its name in the feature."""
    if name == "the present version":
        return PRESENT
    if "old_release" not in context:
        folder = temporary_folder(context)
        context.old_release = extract_release("0.8.0", COMMIT_OF_0_8_0, folder)
    return context.old_release


def temporary_folder(context):
    """Return a folder that is removed after the scenario."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


@given("{count:d} hosts that run {version}")
def given_fleet(context, count, version):
    """Prepare the fleet; it lives while its hosts are replaced."""
    release = get_release(context, version)
    folder = temporary_folder(context)
    fleet = SoakFleet(folder, count, SERVER_COUNT, (release,))
    context.replacement = Replacement(fleet, Random(SEED))


def replace_hosts(context, version, at_once, after):
    """Replace all hosts, and check that both versions run their own code."""
    release = get_release(context, version)
    replaced = context.replacement.fleet.hosts[0].release
    assert code_path(release) != code_path(replaced)
    run(context.replacement.run(release, at_once, after))
    assert not context.replacement.problems, context.replacement.problems


def code_path(release):
    """Return where processes of a version import the package from."""
    command = [sys.executable, "-c", "import damasktally; print(damasktally.__file__)"]
    found = subprocess.run(
        command,
        cwd=release.root,
        env=release.environment,
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    path = Path(found.stdout.strip())
    assert path.is_relative_to(release.root), path
    return path


@when(
    "each host is replaced by one that runs {version}, "
    "and the configuration changes twice"
)
def when_replaced(context, version):
    """Replace one host after the other."""
    after = {2: Replacement.withdraw_key, 4: Replacement.add_route}
    replace_hosts(context, version, 1, after)


@when(
    "{at_once:d} hosts at a time are replaced by those that run {version}, "
    "with faults and changes beside it"
)
def when_replaced_with_faults(context, at_once, version):
    """Replace groups of hosts."""
    after = {
        4: Replacement.kill_last_host,
        8: Replacement.withdraw_key,
        12: Replacement.silence_store,
        24: Replacement.add_route,
    }
    replace_hosts(context, version, at_once, after)


@then("no request ran twice or was refused as not run although it ran")
def then_no_violations(context):
    """Check the guarantees; a planned stop cuts no request that ran."""
    replacement = context.replacement
    planned_only = not replacement.killed_at
    found = find_violations(replacement.fleet, replacement.requests, planned_only)
    problems = list(found)
    assert not problems, problems[:5]


@then("the customer with a rate got no more than its rate from the whole fleet")
def then_rate_held(context):
    """Check the runs at all servers; the customer asks for more than its rate."""
    replacement = context.replacement
    problems = list(find_rate_violations(replacement))
    assert not problems, problems
    requests = [r for r in replacement.requests if r.customer == LIMITED_CUSTOMER]
    duration_s = requests[-1].sent_at - requests[0].sent_at
    served = sum(request.status == 200 for request in requests)
    assert served >= MIN_RATE_RATIO * RATE * duration_s, (served, duration_s)


@then("each configuration was in force at every host within its bound, and stayed so")
def then_configuration_in_force(context):
    """Check the answers of all hosts."""
    problems = list(find_configuration_violations(context.replacement))
    assert not problems, problems[:5]


@then("every request within its customer's limits was served")
def then_served(context):
    """Check that replacing hosts cut or refused nothing."""
    replacement = context.replacement
    ran = runs_of(replacement.fleet)
    requests = requests_within_limits(replacement)
    statuses = Counter((item.status, item.id in ran) for item in requests)
    served = sum(item.status == 200 for item in requests)
    assert served >= MIN_SERVED_RATIO * len(requests), statuses
    assert replacement.longest_wait_s < MAX_WAIT_S, replacement.longest_wait_s


@then("no host logged a traceback, or a message that it could not decode")
def then_logs_clean(context):
    """Check the logs of all processes."""
    problems = list(find_log_problems(context.replacement.fleet.folder))
    assert not problems, problems[:3]


@then("most hosts took the last configuration from a relay")
def then_relays_used(context):
    """Check that the fleet was too large for every host to follow the store."""
    fleet = context.replacement.fleet
    sources = count_sources_of_last_configuration(fleet.folder)
    assert 0 < sources["store"] < len(fleet.hosts) / 2 < sources.total(), sources
