@soak
Feature: Random seeds, for as long as one likes

  Scenario: Escrow and membership under every fault with random seeds
    Then 20 random seeds break neither escrow nor membership
