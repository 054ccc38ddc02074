"""Steps that compare the quotas in use with a plain computation."""

from math import isclose

from behave import then
from decision_steps import agreed_excess
from hypothesis import example, settings, strategies
from hypothesis import given as for_all
from plain_quotas import PlainQuotas, _surge_reserve

from damasktally.decisions.quota import RELAYED_LAG_S, REPORT_LAG_S, CustomerQuotas
from damasktally.decisions.quota_report import QuotaReport
from damasktally.fleet.model import Customer

TIME_STEP_S = 1 / 64
RELATIVE_TOLERANCE = 1e-9
DECISION_TOLERANCE = 1e-6
"""Requests by which a decision may miss the bound: the order of additions differs."""
LOG_STEPS = {
    "left": 0.101,
    "share": 0.00101,
    "allowance": 0.0101,
    "rate": 0.0,
    "counts_age_s": 0.00101,
}
"""Steps to which the logged values are rounded."""
NAMES = ("a", "b", "c", "d")
RATES = (0.0, 1.0, 3.0, 20.0, 155.0)
SENDERS = 3

numbers = strategies.integers
RARE_ACTIONS = [
    strategies.tuples(strategies.just("refund"), numbers(0, 3)),
    strategies.tuples(strategies.just("restart"), numbers(0, SENDERS - 1)),
    strategies.tuples(strategies.just("pause"), numbers(0, SENDERS - 1)),
    strategies.tuples(
        strategies.just("forget"), numbers(0, SENDERS - 1), numbers(0, 3)
    ),
    strategies.tuples(strategies.just("switch"), numbers(0, SENDERS - 1)),
    strategies.tuples(
        strategies.just("hosts"), numbers(0, SENDERS - 1), numbers(0, 40)
    ),
    strategies.tuples(strategies.just("silence"), numbers(0, 5)),
    strategies.tuples(strategies.just("limit"), numbers(0, 3), numbers(0, 4)),
    strategies.tuples(strategies.just("remove"), numbers(0, 3)),
    strategies.just(("lag",)),
]
COMMON_ACTIONS = [
    strategies.tuples(strategies.just("wait"), numbers(1, 200)),
    strategies.tuples(strategies.just("wait"), numbers(1, 20)),
    strategies.tuples(strategies.just("take"), numbers(0, 3), numbers(1, 12)),
    strategies.tuples(
        strategies.just("count"),
        numbers(0, SENDERS - 1),
        numbers(0, 3),
        numbers(-2, 30),
        numbers(0, 400),
    ),
    strategies.tuples(
        strategies.just("own"), numbers(0, SENDERS - 1), numbers(0, 3), numbers(0, 9)
    ),
    strategies.just(("compare",)),
    *[strategies.just(("update",))] * 4,
]
ACTIONS = strategies.one_of(*COMMON_ACTIONS * 4, *RARE_ACTIONS)


FULL_BUCKET = [
    ("count", 0, 0, 1, 10),
    ("update",),
    *[("wait", 200), ("update",)] * 2,
    ("wait", 1),
    ("count", 0, 0, 20, 10),
    ("update",),
    ("compare",),
]
"""Counts that grow after updates that left a full bucket alone."""
FORGOTTEN_CUSTOMER = [
    ("count", 0, 0, 1, 400),
    ("take", 0, 1),
    ("wait", 9),
    ("update",),
    ("forget", 0, 0),
    ("update",),
    ("compare",),
]
"""Demand that a sender reports no longer."""
PAUSED_SENDER = [
    ("count", 0, 0, 1, 10),
    ("update",),
    ("pause", 0),
    ("update",),
    ("count", 0, 0, 9, 10),
    ("update",),
    ("compare",),
]
"""Counts of a sender that is silent for a while, which set a baseline again."""


class Sender:
    """Another host or relay, whose tables include counts of the compared host.

    :param own_admitted: part of ``admitted`` that the compared host admitted.
    """

    def __init__(self, number):
        self.name, self.started_ms = f"h-{number}", 1
        self.host_count, self.is_primary, self.is_listed = 1, True, number == 0
        self.admitted, self.demand = {}, {}
        self.own_admitted, self.own_demand = {}, {}

    def reports(self):
        """Return the report with tables to subtract, and the one with differences."""
        identity = (self.name, self.started_ms)
        report = QuotaReport(
            identity,
            self.admitted,
            self.demand,
            self.host_count,
            self.is_primary,
            self.own_admitted,
            self.own_demand,
        )
        plain = QuotaReport(
            identity,
            {
                name: count - self.own_admitted.get(name, 0)
                for name, count in self.admitted.items()
            },
            {
                name: max(0.0, value - self.own_demand.get(name, 0.0))
                for name, value in self.demand.items()
            },
            self.host_count,
            self.is_primary,
        )
        return report, plain


class Comparison:
    """Run the same schedule with the quotas in use and with the plain ones."""

    def __init__(self):
        self.now, self.lag_s, self.silent = 100.0, REPORT_LAG_S, 0
        self.quotas, self.plain = (
            CustomerQuotas(agreed_excess),
            PlainQuotas(agreed_excess),
        )
        self.customers = {name: make_customer(name, 20.0) for name in NAMES}
        self.senders = [Sender(number) for number in range(SENDERS)]

    def run(self, actions):
        """Run a schedule, until a decision is at its bound.

        Reading values brings buckets up to date, so it is an action like the others.
        """
        for name, *arguments in [*actions, ("update",), ("compare",)]:
            if getattr(self, name)(*arguments) is False:
                return

    def wait(self, steps):
        """Let time pass."""
        self.now += steps * TIME_STEP_S

    def take(self, index, count):
        """Request tokens, and compare the decisions."""
        customer = self.customers.get(NAMES[index])
        if customer is None or customer.rate <= 0:
            return True
        for _ in range(count):
            margin = self.margin(customer)
            taken = self.quotas.take(customer, self.now)
            if taken != self.plain.take(customer, self.now):
                assert margin < DECISION_TOLERANCE, (customer, margin)
                return False
        return True

    def margin(self, customer):
        """Return how far the plain decision is from its nearest bound."""
        bucket = self.plain._bucket(customer.name, self.now)
        allowance = self.plain._allowance(bucket, self.now)
        elapsed_s = self.now - bucket.refilled_at
        tokens_left = bucket.tokens_left + elapsed_s * bucket.rate
        admitted_since = bucket.admitted - bucket.lagged_admitted
        surge_margins = [
            abs(tokens_left - _surge_reserve(bucket, ahead) - admitted_since - 1)
            for ahead in (1, 2, 3)
        ]
        return min(abs(allowance - 1.0), *surge_margins)

    def refund(self, index):
        """Return a token."""
        if customer := self.customers.get(NAMES[index]):
            self.quotas.refund(customer)
            self.plain.refund(customer)

    def count(self, sender, index, growth, demand):
        """Let a sender report other counts of a customer."""
        sender, name = self.senders[sender], NAMES[index]
        sender.is_listed = True
        count = sender.admitted.get(name, 0) + growth
        sender.admitted = {**sender.admitted, name: count}
        sender.demand = {**sender.demand, name: demand / 10}

    def own(self, sender, index, growth):
        """Let a sender's sums include more requests of the compared host."""
        sender, name = self.senders[sender], NAMES[index]
        count = sender.own_admitted.get(name, 0) + growth
        sender.own_admitted = {**sender.own_admitted, name: count}
        sender.own_demand = {**sender.own_demand, name: growth / 2}
        total = sender.admitted.get(name, 0) + growth
        sender.admitted = {**sender.admitted, name: total}

    def restart(self, sender):
        """Let a sender start again, with counts from zero."""
        sender = self.senders[sender]
        sender.started_ms += 1
        sender.admitted, sender.demand = {}, {}

    def pause(self, sender):
        """Let a sender stop sending, or continue."""
        self.senders[sender].is_listed ^= True

    def forget(self, sender, index):
        """Let a sender's next message list a customer no longer."""
        sender, name = self.senders[sender], NAMES[index]
        sender.admitted = {k: v for k, v in sender.admitted.items() if k != name}
        sender.demand = {k: v for k, v in sender.demand.items() if k != name}

    def switch(self, sender):
        """Make a sender a standby or the primary one."""
        self.senders[sender].is_primary ^= True

    def hosts(self, sender, count):
        """Change the number of hosts that a sender reports on."""
        self.senders[sender].host_count = count

    def silence(self, count):
        """Change the number of silent hosts."""
        self.silent = count

    def limit(self, index, rate):
        """Change the limit of a customer, or add it again."""
        name = NAMES[index]
        self.customers = {**self.customers, name: make_customer(name, RATES[rate])}

    def remove(self, index):
        """Remove a customer."""
        self.customers = {k: v for k, v in self.customers.items() if k != NAMES[index]}

    def lag(self):
        """Change between a full mesh and relays."""
        self.lag_s = REPORT_LAG_S if self.lag_s == RELAYED_LAG_S else RELAYED_LAG_S

    def update(self):
        """Update both."""
        listed = [item.reports() for item in self.senders if item.is_listed]
        customers = tuple(self.customers.values())
        for quotas, reports in (
            (self.quotas, [item[0] for item in listed]),
            (self.plain, [item[1] for item in listed]),
        ):
            quotas.update_shares(customers, reports, self.silent, self.now, self.lag_s)

    def compare(self):
        """Compare everything that other modules read."""
        assert self.quotas.admitted() == self.plain.admitted()
        rates = {name: rate for name, rate in self.plain.rates().items() if rate}
        assert {k: v for k, v in self.quotas.rates().items() if v} == rates
        demand, plain_demand = self.quotas.demand(), self.plain.demand()
        for name in {**demand, **plain_demand}:
            difference = demand.get(name, 0.0) - plain_demand.get(name, 0.0)
            assert abs(difference) < 0.0101, (name, demand, plain_demand)
        for customer in self.customers.values():
            if customer.rate <= 0:
                continue
            wait_s = self.quotas.wait_s(customer, self.now)
            plain_wait_s = self.plain.wait_s(customer, self.now)
            assert isclose(
                wait_s,
                plain_wait_s,
                rel_tol=RELATIVE_TOLERANCE,
                abs_tol=DECISION_TOLERANCE,
            ), (customer, wait_s, plain_wait_s)
            self.compare_inputs(customer)

    def compare_inputs(self, customer):
        """Compare the values behind a decision, which are rounded for the log."""
        inputs = self.quotas.decision_inputs(customer, self.now)
        for name, value in self.plain.decision_inputs(customer, self.now).items():
            assert isclose(
                value, inputs[name], rel_tol=1e-6, abs_tol=LOG_STEPS[name]
            ), (
                customer,
                name,
                value,
                inputs[name],
            )


def make_customer(name, rate):
    """Return a customer whose burst is half as large again as its rate."""
    return Customer(name, frozenset(), rate, 1.5 * rate, None, frozenset())


@then("quotas decide as a plain computation for random schedules")
def then_as_plain_computation(context):
    """Run random schedules of requests, reports, updates and changes of the fleet."""

    @settings(max_examples=300, deadline=None)
    @example(FULL_BUCKET)
    @example(FORGOTTEN_CUSTOMER)
    @example(PAUSED_SENDER)
    @for_all(strategies.lists(ACTIONS, min_size=40, max_size=120))
    def compare(actions):
        Comparison().run(actions)

    compare()
