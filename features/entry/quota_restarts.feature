Feature: Hosts that restart while the store is away keep to the limits of the fleet

  A host that starts lists the others in the store. While the store is away, it knows only
  those whose heartbeats reach it: the hosts that its settings name, and those that did not
  restart and know it.

  # Guards against hosts each of which divides a limit among the few that it knows.
  Scenario Outline: A customer that floods gets no more than its limit: <survivors> of <hosts> hosts did not restart
    Given <hosts> hosts of which <survivors> did not restart, and 3 that settings name
    And a customer may send 380 requests a second and 476 at once
    When each host gets <rate> requests a second of that customer for 8 s
    Then at most 2634 of them are admitted in any 5 s

    Examples:
      | hosts | survivors | rate |
      | 12    | 1         | 240  |
      | 12    | 3         | 240  |
      | 12    | 9         | 240  |
      | 24    | 1         | 120  |

  # Guards against hosts each of which divides a server's warm-up among the few that it
  # knows, so that their requests together end the server.
  Scenario Outline: A server in its warm-up gets no more than it tolerates: <survivors> of <hosts> hosts did not restart
    Given <hosts> hosts of which <survivors> did not restart, and 3 that settings name
    When the hosts exchange heartbeats for 2 s
    Then they send a server that tolerates 9.2 requests a second at most 18 together
    And a server that tolerates 120 requests a second gets at least 90

    Examples:
      | hosts | survivors |
      | 12    | 1         |
      | 12    | 6         |
      | 12    | 12        |
      | 24    | 1         |

  # Guards against hosts that refuse all for want of knowledge.
  Scenario: The customer still gets a part of its rate meanwhile
    Given 12 hosts of which 1 did not restart, and 3 that settings name
    And a customer may send 380 requests a second and 476 at once
    When each host gets 240 requests a second of that customer for 8 s
    Then at least 380 of them are admitted in the last 5 s
