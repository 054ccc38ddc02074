Feature: Hosts of release 0.8.0 and of the present version run side by side

  # Guards against messages, settings and stored objects that one of the versions cannot read.
  Scenario Outline: A fleet under load is replaced host by host
    Given 6 hosts that run <before>
    When each host is replaced by one that runs <after>, and the configuration changes twice
    Then no request ran twice or was refused as not run although it ran
    And the customer with a rate got no more than its rate from the whole fleet
    And each configuration was in force at every host within its bound, and stayed so
    And every request within its customer's limits was served
    And no host logged a traceback, or a message that it could not decode

    Examples: upgrade and rollback
      | before              | after               |
      | 0.8.0               | the present version |
      | the present version | 0.8.0               |

  Scenario: A fleet with relays is upgraded while a host is killed and the store is away
    Given 28 hosts that run 0.8.0
    When 4 hosts at a time are replaced by those that run the present version, with faults and changes beside it
    Then no request ran twice or was refused as not run although it ran
    And the customer with a rate got no more than its rate from the whole fleet
    And each configuration was in force at every host within its bound, and stayed so
    And every request within its customer's limits was served
    And no host logged a traceback, or a message that it could not decode
    And most hosts took the last configuration from a relay
