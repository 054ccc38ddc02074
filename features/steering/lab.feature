Feature: Ways of choosing a server are compared in a simulation

  Scenario: A result depends on its seed alone
    When the load double is simulated for 4 s under the policy product with seeds 1, 1 and 2
    Then the first two results are equal and the third one differs
    And every request of a result was answered on time, answered late or refused

  Scenario Outline: Fewer copies of an object serve more under <load>
    When the load <load> is simulated for 12 s under each policy with seed 1
    Then product serves more than spill-3
    And least-loaded serves less than half of what product serves

    Examples:
      | load      |
      | double    |
      | surge     |
      | evacuated |

  Scenario: The command prints a table and a plot, and rejects an unknown load
    When the command "lab --load steady --policy product --policy plain-hash --seconds 4" is run
    Then it ends with 0 and prints "plain-hash"
    When the command "lab --load missing" is run
    Then it ends with 2 and prints "No load missing; known: steady, double"
