"""Start and stop what scenarios need."""

from damasktally.demo.fleet import DemoFleet
from damasktally.demo.scenarios import CustomerPlan, ServerPlan, masa_madre

FLEET_TAG = "fleet"


def small_scenario():
    """Return three regions with two servers each and customers with high rates."""
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
    """Start a fleet for features with a tag such as ``fleet.3``."""
    for tag in feature.tags:
        if tag.startswith(f"{FLEET_TAG}."):
            context.fleet = DemoFleet(small_scenario())
            context.fleet.start(int(tag.split(".")[1]))


def after_feature(context, feature):
    """Stop the feature's fleet."""
    if any(tag.startswith(f"{FLEET_TAG}.") for tag in feature.tags):
        context.fleet.stop()


def before_scenario(context, scenario):
    """Give each scenario a list of things to close."""
    context.cleanups = []


def after_scenario(context, scenario):
    """Close what the scenario opened, the newest first."""
    for close in reversed(context.cleanups):
        close()
