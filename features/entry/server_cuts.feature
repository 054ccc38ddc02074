Feature: A host that loses its links to servers knows it

  A host may lose all servers while callers, the store and other hosts still reach it.

  # Guards against taking one failed server, or a busy service, for a lost network link.
  Scenario Outline: A host concludes from several failures in a row that it lost a service
    Given a service of <servers> servers that answered lately
    When <failed> of them fail within <seconds> s, <between>
    Then the service counts as <state>

    Examples:
      | servers | failed | seconds | between                | state       |
      | 20      | 3      | 1       | and none answers       | reachable   |
      | 20      | 4      | 0.2     | and none answers       | reachable   |
      | 20      | 4      | 0.5     | and none answers       | unreachable |
      | 20      | 12     | 1       | and one answers midway | unreachable |
      | 20      | 6      | 1       | and one answers midway | reachable   |
      | 2       | 2      | 0.5     | and none answers       | unreachable |

  # Guards against moving requests back and forth while a link comes and goes.
  Scenario: A service has to be reached for longer after each loss that soon follows a return
    Given a service of 20 servers that answered lately
    Then it counts as reachable again 0.5, 1, 2, 4 and 4 s after returns that follow each other

  # Guards against a silent connection, which shows no error until the deadline.
  Scenario: Requests that wait without any response are worth a connection
    Given a service of 20 servers that answered lately
    When 3 requests wait for 0.6 s
    Then a connection attempt is due, and the next one 1 s after it succeeded
    And none is due while no request waits

  Scenario: A host logs once that it reaches no server of a service, and that it does again
    Given a fleet of 2 hosts and 6 servers
    When the first host loses all servers, connections are reset
    And callers send 30 requests a second to the first host for 1 s
    Then the first host knows within 1 s that it reaches no server
    When the first host reaches all servers again
    Then the first host knows within 2 s that it reaches servers

  # Guards against hosts that refuse callers although other hosts reach the servers.
  Scenario Outline: Callers of hosts that lost all servers are served as those of others
    Given a fleet of 6 hosts and 8 servers
    And callers sent 60 requests a second to all hosts for 1 s
    When <cut> of the hosts lose all servers, <shape>
    And callers send 60 requests a second to all the hosts for 4 s
    Then from <settle> s after the cut at least 95 percent are served at first try, at cut hosts and at others
    When the cut ends
    And callers send 60 requests a second to all the hosts for 3 s
    Then from 2 s after the end at least 95 percent are served at first try, at all hosts

    Examples:
      | cut | shape                            | settle |
      | 3   | connections are reset            | 1      |
      | 3   | connections go silent            | 1.5    |
      | 3   | only new connections are refused | 1      |
      | 5   | connections are reset            | 1      |
