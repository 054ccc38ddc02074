Feature: A server is chosen by when it can end the request
  Server 1 is the first of the object's ranking, server 2 the second. Both have 6 slots,
  and a fast run takes 0.4 s.

  Scenario Outline: A slow server is left for one at the usual speed
    Given server 1 takes <slowdown> times as long as usual and server 2 does not
    And server 1 holds <held> requests and server 2 holds 0
    Then a request is sent to server <server>

    Examples: a machine that is shared with other programs
      | slowdown | held | server |
      | 1.0      | 0    | 1      |
      | 1.5      | 3    | 1      |
      | 2.5      | 0    | 2      |
      | 2.5      | 6    | 2      |

  Scenario Outline: A run that would be cut off at its timeout is not started
    Given server 1 takes <slowdown> times as long as usual and server 2 does not
    And server 1 holds <held> requests and server 2 holds <held>
    Then a request that has <seconds> s left is sent to server <server>

    Examples:
      | slowdown | held | seconds | server |
      | 1.0      | 0    | 0.5     | 1      |
      | 1.0      | 0    | 0.3     | none   |
      | 1.0      | 8    | 0.7     | 1      |
      | 1.0      | 8    | 0.5     | none   |
      | 1.9      | 0    | 0.5     | 2      |

