Feature: A server's rate limit holds for all hosts together

  A backend server in need names the requests a second that it takes from the whole
  fleet. Each host that has forwarded such a response is bound by it.

  # Guards against incident inc1: hosts did not read the limit and sent as before.
  Scenario: Twelve hosts together keep to the limit that a server names
    Given 12 hosts in 2 data centres
    And 3 more servers beside the first
    When the preferred server names a limit of 1.4 a second
    And callers send 60 requests a second to all hosts for 9 s
    Then no 4 s after the first 3 s bring it more than 1.5 times its limit and 5 requests
    And it gets at least 1 request in the last 5 s
    And at least 95 percent of the callers are served
    When it names no limit any more
    And callers send 60 requests a second to all hosts for 4 s
    Then all hosts send to it again

  # Guards against the same in a fleet whose hosts hear of each other through relays.
  Scenario: Thirty hosts with relays together keep to the limit that a server names
    Given 30 hosts in 2 data centres
    And 3 more servers beside the first
    When the preferred server names a limit of 0.5 a second
    And callers send 60 requests a second to all hosts for 9 s
    Then no 4 s after the first 3 s bring it more than 1.5 times its limit and 5 requests
    And at least 95 percent of the callers are served
    When it names no limit any more
    And callers send 60 requests a second to all hosts for 4 s
    Then all hosts send to it again
