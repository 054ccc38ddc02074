@soak
Feature: Soak test of escrow and membership with random seeds

  Scenario: Escrow and membership under every fault with random seeds
    Then 20 random seeds break neither escrow nor membership
