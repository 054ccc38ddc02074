Feature: Entry hosts that run as processes keep their guarantees under faults

  Scenario Outline: The guarantees hold under the faults of a seed
    Then 5 processes keep every guarantee through 6 s of the faults of seed <seed>

    Examples: one seed of each kind, and every seed that once failed with its cause
      | seed | why                                         |
      | 1    | only planned operations                     |
      | 2    | kills, a silent store, stops and withdrawal |
      | 73827595  | a starting process was ended by SIGHUP |
      | 180798800 | a connection accepted while the host stopped was served and aborted |

  Scenario Outline: Hosts heed what servers report of themselves under the faults of a seed
    Then 5 processes heed servers' reports through 6 s of the faults of seed <seed>

    Examples: seeds that cover every kind of report, and restores of the store
      | seed |
      | 11   |
      | 33   |

  # Guards against state that one version leaves and the other cannot take over.
  Scenario: Hosts of 0.8.0 and of the present version keep the guarantees together
    Then 5 processes of two versions keep every guarantee through 6 s of the faults of seed 2

  # Guards against two test runs that choose the same port before either listens on it.
  Scenario: Processes that choose ports at the same time choose different ones
    Then 12 processes that choose 400 ports each choose none twice

  Scenario: A connection that is accepted while the host stops is answered or not served
    Given a stand-in store with a configuration and 1 servers
    And an entry host that is ready
    And the host keeps a connection to every server
    And every server takes 0.3 s
    When callers connect at the moment at which the host closes its port
    Then each of their requests that a server ran was answered

  Scenario: A process that is still starting survives SIGHUP
    Then a host that receives SIGHUP 10 times while it starts becomes ready
