"""Steps for the detection of surges by a relay."""

from behave import given, then, when

from damasktally.decisions.surges import SurgeDetector

COUNTS_INTERVAL_S = 0.2
STEPS_PER_INTERVAL = 20
SETTLING_TIME_S = 3.0
SURGE_FACTOR = 6.0
DEMAND_KEPT = 0.5 ** (COUNTS_INTERVAL_S / 0.5)
"""Part of the demand that a host keeps at each report, as in the quotas."""


class RelaySimulation:
    """Let hosts report at different moments to a relay that sends totals regularly.

    :param hosts: hosts that get the requests in turn.
    """

    def __init__(self, rate, hosts):
        self.rate, self.hosts = rate, hosts
        self.detector = SurgeDetector()
        self.step, self.total, self.requested = 0, 0, 0.0
        self.admitted, self.waiting = 0, [0] * hosts
        self.demand = [0.0] * hosts
        self.urgent_at = []

    @property
    def now(self):
        """Return the time in seconds."""
        return self.step * COUNTS_INTERVAL_S / STEPS_PER_INTERVAL

    def run(self, factor, seconds):
        """Let the customer send a multiple of its rate for a while."""
        for _ in range(round(seconds / COUNTS_INTERVAL_S * STEPS_PER_INTERVAL)):
            self.step += 1
            self.requested += (
                factor * self.rate * COUNTS_INTERVAL_S / STEPS_PER_INTERVAL
            )
            while self.admitted + 1 <= self.requested:
                self.waiting[self.admitted % self.hosts] += 1
                self.admitted += 1
            # The relay sends its totals just before the first host reports.
            if self.step % STEPS_PER_INTERVAL == 0:
                self.send()
            for host in range(self.hosts):
                if (self.step - host) % STEPS_PER_INTERVAL == 1:
                    self.report(host)

    def report(self, host):
        """Add the counts of a host, as of now."""
        growth = self.waiting[host]
        self.waiting[host] = 0
        self.total += growth
        rate = growth / COUNTS_INTERVAL_S
        self.demand[host] = DEMAND_KEPT * self.demand[host] + (1 - DEMAND_KEPT) * rate
        if self.detector.is_urgent(
            ["c"], {"c": self.total}, {"c": self.rate}, self.now
        ):
            self.urgent_at.append(self.now)
            self.send()

    def send(self):
        """Send the totals."""
        demand = {"c": round(sum(self.demand), 2)}
        self.detector.record_sent({"c": self.total}, demand, self.now)


@given(
    "a relay that receives the counts of a customer with a limit of {rate:g} "
    "from {hosts:d} hosts"
)
def given_relay(context, rate, hosts):
    """Create the relay."""
    context.relay = RelaySimulation(rate, hosts)


@when("the customer sends steadily at its limit for {seconds:g} s")
def when_steady(context, seconds):
    """Let the demand become known before the summaries are counted."""
    context.relay.run(1.0, SETTLING_TIME_S)
    context.relay.urgent_at.clear()
    context.relay.run(1.0, seconds)


@then("no summary is urgent")
def then_none_urgent(context):
    """Check that the known demand explains all growth."""
    assert not context.relay.urgent_at, context.relay.urgent_at


@when("it sends six times its rate")
def when_surge(context):
    """Let the requests surge."""
    context.surge_began_at = context.relay.now
    context.relay.run(SURGE_FACTOR, 1.0)


@then("a summary is urgent within {seconds:g} s")
def then_urgent(context, seconds):
    """Check when the first urgent summary was sent."""
    urgent_at = context.relay.urgent_at
    latest = context.surge_began_at + seconds + 1e-6
    assert urgent_at and urgent_at[0] <= latest, (context.surge_began_at, urgent_at)
