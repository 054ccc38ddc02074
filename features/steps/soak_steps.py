"""Steps that run simulations with random seeds, printed to reproduce failures."""

from random import Random, SystemRandom

from behave import then
from escrow_steps import STEP_COUNT, BucketSimulation
from membership_steps import MembershipSimulation

EVERY_FAULT = "every fault at once"
SIMULATED_S = 150
HOST_COUNT = 7


@then("{count:d} random seeds break neither escrow nor membership")
def soak(context, count):
    for _ in range(count):
        seed = SystemRandom().randrange(10**9)
        print(f"seed {seed}", flush=True)
        buckets = BucketSimulation(HOST_COUNT, 40.0, 20.0, EVERY_FAULT)
        rng = Random(seed)
        for _ in range(STEP_COUNT):
            buckets.step(rng)
        assert buckets.max_excess() <= 1e-6, (seed, buckets.max_excess())
        membership = MembershipSimulation(
            HOST_COUNT, Random(seed), EVERY_FAULT, SIMULATED_S
        )
        membership.run()
        assert membership.max_share_sum <= 1 + 1e-9, (seed, membership.max_share_sum)
