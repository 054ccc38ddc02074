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

  # Guards against a host of a large fleet that does not learn which others are cut off.
  Scenario: In a fleet with relays, callers of cut hosts are served, too
    Given a fleet of 30 hosts and 8 servers
    And callers sent 60 requests a second to all hosts for 1 s
    When 10 of the hosts lose all servers, connections are reset
    And callers send 60 requests a second to all the hosts for 4 s
    Then from 1.5 s after the cut at least 95 percent are served at first try, at cut hosts and at others

  # Guards against running a request twice, counting it twice, or passing on its key.
  Scenario: A forwarded request keeps every rule that holds for a caller's own
    Given a fleet of 3 hosts and 4 servers
    And the customer acme may send 20 requests a second and 10 at once
    When the first host loses all servers, connections are reset
    And the first host gets requests until it knows
    And callers send 30 payments to the first host within 1 s
    Then each payment that was served ran once, and no other ran
    And at most 33 payments were served, and at least 20
    And no server received a key or a header of hosts

  Scenario: The port of callers takes no notice of the headers of hosts
    Given a fleet of 2 hosts and 2 servers
    And the customer acme may send 1 requests a second and 1 at once
    When a caller sends 60 requests that claim to be forwarded
    Then at least 30 of them are refused with 429
    And no server received a key or a header of hosts

  # Guards against handling a request by an older configuration than the one it met.
  Scenario: A request is not forwarded to a host that has an older configuration
    Given a fleet of 3 hosts and 4 servers
    When the second host has an older configuration
    And the first host loses all servers, connections are reset
    And the first host gets requests until it knows
    And callers send 30 payments to the first host within 1 s
    Then at least 30 payments were served, none by way of the second host

  # Guards against requests that go back and forth between hosts that are all cut off.
  Scenario: A request is forwarded once, and refused at once if no host reaches servers
    Given a fleet of 3 hosts and 4 servers
    When all hosts lose all servers, connections are reset
    And the first host gets requests until it knows
    And callers send 30 payments to the first host within 1 s
    Then each payment was refused with a time to come back within 0.5 s

  Scenario Outline: The load of hosts that are cut off is spread over those that are not
    Given 12 hosts in 3 regions of which <cut> in the first region are cut off
    When they forward 150 requests a second that take 0.5 s each
    Then no host gets more than <factor> times the mean of the hosts that take them
    And requests with a home region reach hosts of that region only

    Examples:
      | cut | factor |
      | 1   | 1.6    |
      | 3   | 1.6    |

  Scenario: Callers are directed to hosts that reach servers, unless these are too few
    Then the directory names these hosts of one region
      | hosts | cut off | named |
      | 4     | 0       | 4     |
      | 4     | 1       | 3     |
      | 6     | 4       | 2     |
      | 4     | 3       | 4     |
      | 4     | 4       | 4     |

  # Guards against blaming requests for responses that a host's own links lost.
  Scenario Outline: Responses that are lost by cuts of hosts block no request
    Given a fleet of 6 hosts and 8 servers
    And every server takes 0.2 s
    And callers sent 120 requests a second to all hosts for 1 s
    When <cut> of the hosts lose all servers <times> times for <seconds> s, connections are reset
    Then no request was blocked at any host

    Examples:
      | cut | times | seconds |
      | 5   | 4     | 0.5     |
      | 6   | 2     | 1.2     |

  # Guards against excusing a request that ends servers, and against blaming one that a
  # broken link lost.
  Scenario Outline: A loss is the link's if connections to nearly all other servers break with it
    Given connections to <open> servers
    When those to <broken> servers break within <seconds> s
    Then the loss of the first of them is put down to <cause>

    Examples:
      | open | broken | seconds | cause      |
      | 34   | 34     | 0.05    | the link   |
      | 34   | 32     | 0.1     | the link   |
      | 34   | 20     | 0.1     | the server |
      | 34   | 34     | 6       | the server |
      | 8    | 8      | 0.01    | the link   |
      | 8    | 6      | 0.01    | the server |
      | 6    | 4      | 0.06    | the server |
      | 3    | 3      | 0.01    | the server |

  # Guards against a cut that looks different to a process: connections that are accepted
  # and reset at once, and a socket table shared with other hosts.
  Scenario: Processes that lose all servers serve their callers through other processes
    Given 6 processes and 6 servers behind proxies
    When the proxies cut 3 of the processes, and callers send 60 requests a second to all for 5 s
    Then from 1.5 s after the cut at least 95 percent are served at first try at each process

  # Guards, by drawn schedules, against blocks that come from cuts, and against missing a
  # request that ends servers because of them.
  Scenario: Cuts of any hosts block no request, whatever messages are lost
    Then in 150 schedules of cuts of any hosts no request is blocked

  # Guards against answers and removals that are forgotten before the loss is judged.
  Scenario Outline: A request that was lost at 3 servers <case> is <verdict>
    Then a request that was lost at 3 servers <case> is <verdict>

    Examples:
      | case                                                      | verdict     |
      | and never answered                                        | blocked     |
      | and answered 0.2 s before that                            | blocked     |
      | and answered 0.2 s later                                  | not blocked |
      | that had drained or were removed before                   | not blocked |
      | as the own link broke, and the servers end later          | blocked     |
      | as the own link broke, with an answer, and they end later | not blocked |

  # Guards against reads that are blocked although each was answered in the moment before
  # its loss was judged, as servers that left ended with several of them.
  Scenario: Servers that leave or end in groups block no request, whatever messages are lost
    Then in 150 schedules of servers that leave or end in groups no request is blocked

  # Guards against servers that leave at the same time, and hide what others end under.
  Scenario: A request that ends servers is stopped while others leave in groups
    Then in 150 schedules of servers that leave in groups a request that ends servers ends at most 3 more from 1.5 s after the third

  Scenario: A request that ends servers is stopped while half of the hosts are cut
    Then in 150 schedules with cuts of up to half of the hosts a request that ends servers ends at most 3 more from 1.5 s after the third
