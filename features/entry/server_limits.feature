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
    And callers send 60 requests a second to all hosts for 8 s
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
    And callers send 60 requests a second to all hosts for 8 s
    Then all hosts send to it again

  # Guards against hosts that each hold to the limit alone, or wait in step.
  Scenario: A limit is divided among few hosts however large the fleet is
    Then with 1, 2, 12, 60, 195 hosts and limits of 0, 0.3, 1.4, 3.6, 20 a second, no 4 s exceed 1.5 times the limit and 5 requests

  Scenario: A limit ends with the process that named it, and with a newer report
    Then a limit that an earlier process of a server named does not hold for the next
    And of two reports the newer holds, in whatever order they arrive
    And reports are passed on outwards only, and not when they are old
    And the end of a limit is passed on for about 30 s, however often it is reported

  Scenario: A limit that cannot be read changes nothing
    Then Server-Limit is decoded as by these cases
      | value | limit | readable |
      | 1.4   | 1.4   | yes      |
      | 0     | 0     | yes      |
      | 12    | 12    | yes      |
      | -1    | none  | no       |
      | nan   | none  | no       |
      | inf   | none  | no       |
      | few   | none  | no       |
