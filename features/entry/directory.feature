Feature: Callers are named hosts that can carry their requests
  A caller picks one of the named addresses at random, so a host with a thin link would
  get as many requests as one with twenty times its throughput.

  Scenario Outline: Large hosts are named before small ones
    Given a region with <large> hosts of capacity 2.0 and <small> of capacity 0.1
    Then a look-up names <named_large> large and <named_small> small hosts

    Examples:
      | large | small | named_large | named_small |
      | 4     | 25    | 4           | 0           |
      | 2     | 25    | 2           | 0           |
      | 1     | 25    | 1           | 25          |
      | 0     | 25    | 0           | 25          |
      | 1     | 2     | 1           | 2           |

  Scenario: Hosts of about the same capacity are all named
    Given a region with 6 hosts of capacities between 0.6 and 1.0
    Then a look-up names all of them

  Scenario: Large hosts that reach no servers are not named
    Given a region with 4 hosts of capacity 2.0 and 25 of capacity 0.1
    And one of the large hosts reaches no servers
    Then a look-up names 3 large and 0 small hosts
