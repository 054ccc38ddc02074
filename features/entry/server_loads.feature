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

  Scenario: The slowdown that a server reports fades within 1 s
    Then a slowdown of 2.5 counts as 2.5 at first, less after 0.5 s, and as 1 after 1 s
    And the slowdown of a server without a report is 1
