Feature: A host waits for its ports

  # Guards against a start that fails as a connection happens to use a port for a moment.
  Scenario Outline: A host starts although its port for <port> is in use for a moment
    Given a stand-in store with a configuration and 1 servers
    And settings whose port for <port> is used by another socket for 0.7 s
    Then a host that starts with them is ready within 4 s

    Examples:
      | port      |
      | callers   |
      | readiness |
      | peers     |

  Scenario: A host whose port stays in use ends with an error that names it
    Given a stand-in store with a configuration and 1 servers
    And settings whose port for callers is used by another socket for 60 s
    Then a host that starts with them fails after 5 s and names the address
