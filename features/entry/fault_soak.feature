Feature: Entry hosts as real processes keep their promises under faults from outside

  Scenario Outline: A seed holds
    Then 5 processes keep every promise through 6 s of the faults of seed <seed>

    Examples: one of each sort, and every seed that ever failed with its cause
      | seed | why                                         |
      | 1    | nothing but planned work                    |
      | 2    | kills, a silent store, stops and withdrawal |
      | 73827595  | a starting process was ended by SIGHUP |
      | 180798800 | a connection accepted while the host ended was served and cut |

  Scenario: A connection that is accepted while the host ends is answered or not served
    Given a stand-in store with a configuration and 1 servers
    And an entry host that is ready
    And the host keeps a connection to every server
    And every server takes 0.3 s
    When callers connect in the very moment in which the host closes its port
    Then each of them that a server ran was answered

  Scenario: A process that is still starting survives the signal of changed settings
    Then a host that gets SIGHUP 10 times while it starts comes up all the same
