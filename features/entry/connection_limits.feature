Feature: Beyond the limit on connections, the one that is missed least gives way

  Scenario Outline: With room for 4 connections, a new one closes <closed>: <case>
    Given room for 4 connections
    When the port sees: <history>
    And the port sees: n connects
    Then the port closes <closed> alone

    Examples:
      | case                              | history                                      | closed |
      | all wait for their first request  | a, b, c and d connect                        | a      |
      | one waits for its first request   | a, b and c are answered, d connects          | d      |
      | all had an answer                 | a, b, c and d are answered                   | a      |
      | the first had another answer      | a, b, c and d are answered, a is answered    | b      |
      | one had its last response         | a, b and c connect, d is answered, d is ended | d     |
      | only one has no request handled   | a, b and c are asked, d is answered          | d      |
      | all have requests handled         | a, b, c and d are asked                      | n      |

  # Otherwise a caller whose request is on its way would be shut out by the next one.
  Scenario: Callers that have just connected have time to send their requests
    Given room for 8 connections
    When the port sees: a, b, c, d, e, f, g and h are answered
    And the port sees: n connects
    And the port sees: m connects
    Then the port closes a and b alone

  Scenario: A flood of connections closes the oldest of them
    Given room for 4 connections
    When the port sees: a is answered
    And 50 new connections are opened one after the other
    Then 47 of them are closed, and a is not
