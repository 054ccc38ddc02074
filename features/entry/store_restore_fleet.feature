Feature: A fleet after the store came back from an older copy

  Scenario: Every host's entry stands again, written once
    Given 30 hosts in 2 data centres
    And the stand-in store names its era
    And all hosts are registered
    When the store loses all entries of hosts and comes back
    Then within 2 s all hosts are registered again, each with one call

  Scenario: Hosts of two eras do not overrule each other by the number of a revision
    Then a view of the newer era keeps what a view of the older era with a higher revision has
    And a view of the older era takes the state of the newer era, whatever its revision
    And edits are not passed on from one era to the next
