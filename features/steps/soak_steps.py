"""Steps with random seeds; each seed is printed, so that a failure can be repeated."""

from random import Random, SystemRandom

from behave import then
from escrow_steps import STEPS, BucketFleet
from membership_steps import MembershipSimulation

EVERY_FAULT = "every fault at once"
LIFE_S = 150
HOSTS = 7


@then("{count:d} random seeds break neither escrow nor membership")
def soak(context, count):
    for _ in range(count):
        seed = SystemRandom().randrange(10**9)
        print(f"seed {seed}", flush=True)
        buckets = BucketFleet(HOSTS, 40.0, 20.0, EVERY_FAULT)
        rng = Random(seed)
        for _ in range(STEPS):
            buckets.step(rng)
        assert buckets.excess() <= 1e-6, (seed, buckets.excess())
        life = MembershipSimulation(HOSTS, Random(seed), EVERY_FAULT, LIFE_S)
        life.run()
        assert life.max_share_sum <= 1 + 1e-9, (seed, life.max_share_sum)
