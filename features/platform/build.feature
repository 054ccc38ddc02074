Feature: The build ends with dependencies that the hosts can import

  # Guards against a folder that was carried over from another machine: hosts that cannot
  # import their dependencies end at once, and every run fails.
  Scenario Outline: The build installs dependencies if the folder is <state>
    Given a copy of the build with a folder of dependencies that is <state>
    When it is built
    Then the dependencies were installed <count> times
    And the hosts' dependencies can be imported from the folder alone

    Examples:
      | state                          | count |
      | missing                        | 1     |
      | up to date                     | 0     |
      | empty, with an earlier stamp   | 1     |
      | of another machine             | 1     |
      | of another Python              | 1     |
      | of other requirements          | 1     |
      | up to date, without one module | 1     |

  Scenario: A build whose dependencies cannot be imported fails, and so does the next one
    Given a copy of the build with a folder of dependencies that is missing
    And an index that lacks a module
    When it is built
    Then the build fails
    When it is built
    Then the build fails
