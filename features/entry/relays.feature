Feature: In a large fleet a few relays speak for each data centre

  Scenario: The most capable hosts that are alive are relays, and all agree on them
    Then the 2 most capable of 15 hosts are relays whatever the order they are known in
    And a dead relay is replaced by the next host

  Scenario: A host relies on a relay only while it is heard and reaches the store
    Then a host relies on relays by these cases
      | silent | store age | relies |
      | 0.2    | 1.0       | yes    |
      | 1.1    | 2.5       | yes    |
      | 1.3    | 0.1       | no     |
      | 0.1    | 2.7       | no     |

  Scenario: Totals go on when counters restart, end, or are told by another relay
    Then a tally keeps its totals when a counter restarts
    And a tally takes a second relay's place without counting twice

  Scenario: A host takes its own part off sums that include it
    Then sums less the own part are the others' part, whichever heartbeat they include
    And sums with a heartbeat that is forgotten tell nothing

  Scenario: Heartbeats name what changed, and all of it now and then
    Then an entry is sent 3 times after it changed, and as zero when it is gone
    And a message for one host alone takes nothing from the others

  Scenario: What hosts say of themselves adds up, and silence is noticed
    Then a heartbeat that names only changes keeps what earlier ones named
    And a host that was asked and stays silent is no relay any more

  Scenario Outline: Whole requests fit small parts, and no window exceeds the limit
    Given a large fleet of <hosts> hosts and a customer with a rate of <rate>
    When it asks for <asked> of its rate, <surge> times that from the middle on
    Then at most <refused> percent of what was asked before the surge is refused
    And no 5 s hold more than the limit allows

    Examples:
      | hosts | rate | asked | surge | refused |
      | 87    | 4    | 0.6   | 7.5   | 3       |
      | 87    | 8    | 0.6   | 7.5   | 3       |
      | 87    | 20   | 0.6   | 7.5   | 3       |
      | 87    | 54   | 0.6   | 7.5   | 3       |
      | 87    | 155  | 0.6   | 7.5   | 3       |
      | 300   | 54   | 0.6   | 7.5   | 3       |

  Scenario: A surge that comes to few hosts stays inside the limit
    Then a host alone admits no more than the bucket and what was agreed on top
    And no host of a large fleet admits more than 3 ahead of its part

  Scenario: A fleet of 30 hosts follows the store through its relays
    Given 30 hosts in 2 data centres
    Then within 6 s only the relays follow the store, and every host knows its region
    And every host counts the fleet the same
    When the operator writes a new configuration
    Then within 1 s all hosts have it, most of them from a relay
    When both relays of a data centre are killed
    Then within 5 s other hosts of it follow the store in their place
    And look-ups name none of the killed hosts within 3 s
    And within 8 s 2 hosts of each data centre follow the store
    When the operator writes a new configuration
    Then within 1 s all hosts have it, most of them from a relay

  Scenario: A cut of both relays from the store leaves no host behind
    Given 30 hosts in 2 data centres
    Then within 6 s only the relays follow the store, and every host knows its region
    When both relays of a data centre cannot reach the store any more
    And the operator writes a new configuration
    Then within 2 s all hosts have it, most of them from a relay

  Scenario: A host that starts while the store is away does not take the fleet for small
    Given 30 hosts in 2 data centres
    Then within 6 s only the relays follow the store, and every host knows its region
    When a host starts that reaches no store and knows one seed
    Then within 3 s it knows the configuration and counts at least 30 hosts

  Scenario Outline: A host that knows only a far seed is told the hosts near it
    Given a host that relays told of 30 hosts in 2 data centres
    When a new host of the other data centre sends it <count> heartbeats
    Then the last one is answered with the hosts of its data centre
    And the new host addresses the relays of its own data centre

    Examples:
      | count |
      | 1     |
      | 2     |

  Scenario: Changes are passed on without the whole topic
    Then edits since a revision lead to the same view as the whole topic
    And edits from before the first kept step are not offered
