Feature: Hosts know the load of servers across the fleet

  A backend server reports with each response how many requests it holds and how slow it
  currently is. Hosts tell each other of busy servers.

  Scenario: The load report has three or four figures
    Then load reports are decoded as by these cases
      | value            | running | waiting | slots | slowdown |
      | 3,1,6            | 3       | 1       | 6     | none     |
      | 3,1,6,100        | 3       | 1       | 6     | 1        |
      | 6, 18, 6, 250    | 6       | 18      | 6     | 2.5      |
      | 0,0,6,80         | 0       | 0       | 6     | 0.8      |
      | 0,0,6,0          | 0       | 0       | 6     | none     |
      | 1000000,0,6,100  | 1000000 | 0       | 6     | 1        |

  # Guards against a report of a later version of a server, or a faulty one, that hosts
  # misread, log for each response, or fail over.
  Scenario Outline: A load report that cannot be read is logged once and ignored
    Given a stand-in store with a configuration and 2 servers
    And an entry host that is ready
    And the order in which the servers are preferred is known
    And the logged events are recorded
    When the preferred server answers 200 with headers Server-Load: <value>
    And 3 callers ask one after the other
    Then the event server-report-unreadable was logged once, for server-load
    And the estimated load of the preferred server is 0 and its slowdown is 1

    Examples:
      | value           |
      | 3,1             |
      | 3               |
      | 3,1,6,100,1     |
      | 3,-1,6          |
      | 3,1,6,-100      |
      | 3,1,6,slow      |
      | 3,1,6,          |
      | 3,1.5,6         |
      | nan,inf,6,100   |
      | 1000001,1,6     |
      | 3,1,6,1000001   |
      | 99999999999,1,6 |

  Scenario: A load report with thousands of digits is malformed
    Then a load report whose figures have 5000 digits is malformed

  Scenario: A host counts its own requests once, whichever host received the report
    Then these reports beside own requests give these estimates
      | received by | own | reported | estimate |
      | this host   | 2   | 4        | 5        |
      | this host   | 2   | 1        | 2        |
      | another     | 0   | 4        | 4        |
      | another     | 2   | 4        | 4        |
      | another     | 5   | 4        | 5        |

  # Guards against a report that is delayed, repeated or forged, and overrules a newer one.
  Scenario: Of several reports the newest counts
    Then of 4 reports the newest counts, in whatever order they arrive
    And these reports of another host are ignored after one that is 0.1 s old
      | fault                  | started | running | waiting | percent | age  |
      | older                  | 5       | 9       | 9       | 100     | 200  |
      | the same by two ways   | 5       | 9       | 9       | 100     | 95   |
      | earlier process        | 4       | 9       | 9       | 100     | 0    |
      | from the future        | 5       | 9       | 9       | 100     | -500 |
      | expired                | 6       | 9       | 9       | 100     | 1000 |
      | negative               | 5       | -9      | 9       | 100     | 0    |
      | huge                   | 5       | 9       | 1000001 | 100     | 0    |
      | without a slowdown     | 5       | 9       | 9       | 0       | 0    |
    And the first report of a server's next process counts
    And a process whose clock was set back counts 1 s after the last report of the other

  # Guards against a host that is told of a process that it does not know, or ended.
  Scenario: A host ignores the load of a process that is not registered
    Given a stand-in store with a configuration and 2 servers
    And an entry host that is ready
    And the order in which the servers are preferred is known
    When another host passes on a load of another process of the preferred server
    And another host passes on a load of an unknown server
    Then the host sees no load and passes on none
    When another host passes on a load of the preferred server
    Then the host sees that load and passes it on

  Scenario: Only busy servers are passed on, and once more when they are busy no longer
    Then these loads of a server with 6 slots are passed on or not
      | running | waiting | slowdown | passed on |
      | 0       | 0       | none     | no        |
      | 2       | 0       | 1.4      | no        |
      | 3       | 0       | none     | yes       |
      | 6       | 18      | 1        | yes       |
      | 0       | 0       | 1.5      | yes       |
    And a server that stops being busy is passed on once more, also if it was told of
    And a report is passed on once, and its server's next ones as its load changes

  Scenario: Loads are passed on outwards, the newest ones, and until they are 1 s old
    Then loads are passed on outwards only, and not when they are 1 s old
    And messages carry 64 or 256 loads at most, the newest first, and 250 a second
    And the age of a load grows with each host that passes it on
    And a heartbeat for one host alone does not count as one of those for all
    And a summary that a host forwards later carries no loads
    And a load takes at most 30 bytes in a message

  # Answers the second customer's load: uneven demand on many servers and hosts that send
  # ten requests a second each, so that their own reports are tens of seconds old.
  Scenario: 100 hosts that each send seldom see a server that others filled
    Given 100 hosts in 5 data centres that pass on loads
    When the hosts of one data centre fill a server for 3 s
    Then every other host sees on average at least 0.8 of its load from 1 s after the begin
    And the others' mean error is at most 0.12 of that of hosts that pass on nothing
    When no host sends to it for 1 s
    Then every host sees none of its load

  # Answers the second customer's load: 15 % of the servers are 2.5 times as slow as usual
  # for 600 ms at a time, which a host that sends to them seldom does not notice.
  Scenario: Hosts know of a server that is slow for 600 ms while it is
    Given 100 hosts in 5 data centres that pass on loads
    When a server that gets 20 requests a second is 2.5 times as slow as usual for 600 ms
    Then every host knows a slowdown of at least 1.8 within 0.6 s
    And every host knows none 1.2 s after the end

  Scenario: A fleet whose servers are not busy passes on nothing
    Given 100 hosts in 5 data centres that pass on loads
    When a server with 6 slots gets 15 requests a second for 3 s
    Then no message carried a load

  # Guards against hosts that decide by their own reports alone.
  Scenario Outline: A host learns of servers that another host filled
    Given <hosts> hosts in 2 data centres
    And 3 more servers beside the first
    When one host fills the servers, which are 2.5 times as slow as usual, for 1.6 s
    Then every host has seen at least half of their load, and a slowdown of 1.5
    And the metric of the age of load reports shows the request of another host
    When the servers are not busy any more, and one host hears it
    Then within 1 s no host sees load or a slowdown there

    Examples: full mesh and relays
      | hosts |
      | 8     |
      | 30    |

  # Guards against messages between hosts that grow on days without contention.
  Scenario: The messages of a quiet fleet carry no loads
    Given 8 hosts in 2 data centres
    And 3 more servers beside the first
    When all servers report a load below half of their slots, and callers send for 1.5 s
    Then no message between hosts carried a load

  Scenario: The slowdown that a server reports fades within 1 s
    Then a slowdown of 2.5 counts as 2.5 at first, less after 0.5 s, and as 1 after 1 s
    And the slowdown of a server without a report is 1
