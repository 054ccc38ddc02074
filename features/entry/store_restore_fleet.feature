Feature: A fleet after the store came back from an older copy

  Scenario: Every host's entry stands again, written once
    Given 30 hosts in 2 data centres
    And the stand-in store names its era
    And all hosts are registered
    When the store loses all entries of hosts and comes back
    Then within 2 s all hosts are registered again, each with one call

  Scenario: A relay that cannot reach the store learns of its return from others
    Given 30 hosts in 2 data centres
    And the stand-in store names its era
    And all hosts are registered
    And all hosts know the era of the store
    When the operator writes a new configuration
    Then within 2 s all hosts have it
    When the store is copied
    And the operator writes a new configuration
    Then within 2 s all hosts have it
    When a relay of a data centre loses the store
    And the store comes back from the copy
    And the operator writes a new configuration
    Then within 3 s all hosts have it
    And all hosts know the era of the store

  Scenario: Hosts that all restart while the store comes back have its newest state
    Given 6 hosts in 2 data centres
    And the stand-in store names its era
    And all hosts are registered
    And the store is copied
    When the operator writes a new configuration
    Then within 2 s all hosts have it
    When all hosts are killed and start again, and the store comes back from the copy meanwhile
    And the operator writes a new configuration
    Then within 2 s all hosts have it
    And within 2 s all hosts are registered again

  Scenario: Hosts of two eras do not overrule each other by the number of a revision
    Then a view of the newer era keeps what a view of the older era with a higher revision has
    And a view of the older era takes the state of the newer era, whatever its revision
    And edits are not passed on from one era to the next
