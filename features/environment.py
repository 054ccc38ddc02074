"""Behave hooks: start a fleet for tagged features, clean up after scenarios."""

from damasktally.demo.fleet import DemoFleet
from damasktally.demo.scenarios import CustomerPlan, ServerPlan, masa_madre

FLEET_TAG = "fleet"


def small_scenario():
    """Return a scenario of three regions with two servers each.

    Two customers have high rates, and one has a low one.
    """
    scenario = masa_madre()
    scenario.servers = [
        ServerPlan(f"s-{region}-{n}", "suscripciones", region, f"{region}-{n}", 4, 0.0)
        for region in scenario.regions
        for n in (1, 2)
    ]
    scenario.customers = [
        CustomerPlan(name, 3000.0, 3000.0, 1.0, 0.5, "centro")
        for name in ("ana", "bea")
    ]
    scenario.customers.append(CustomerPlan("small", 2.0, 4.0, 1.0, 0.5, "centro"))
    return scenario


def before_feature(context, feature):
    """Start a fleet for a feature with a tag such as ``fleet.3``, which has 3 hosts."""
    for tag in feature.tags:
        if tag.startswith(f"{FLEET_TAG}."):
            context.fleet = DemoFleet(small_scenario())
            context.fleet.start(int(tag.split(".")[1]))


def after_feature(context, feature):
    """Stop the fleet of the feature."""
    if any(tag.startswith(f"{FLEET_TAG}.") for tag in feature.tags):
        context.fleet.stop()


def before_scenario(context, scenario):
    """Create the list of functions that are called after the scenario."""
    context.cleanups = []


def after_scenario(context, scenario):
    """Call the scenario's cleanup functions, the newest first."""
    for close in reversed(context.cleanups):
        close()
