Feature: A server that asks for a pause gets no requests until it ends

  A backend server may refuse a request with 503 and Retry-After: it wants no requests from
  that host for so many seconds.

  Scenario: A server gets no requests during its pause and is used after it
    Given a stand-in store with a configuration and 2 servers
    And an entry host that is ready
    And the order in which the servers are preferred is known
    When the preferred server answers 503 without running it and asks for 0.8 s
    And 5 callers ask one after the other
    Then the preferred server received 1 request
    When another 0.9 s pass
    And the preferred server answers as usual
    And 5 callers ask one after the other
    Then the preferred server received 6 requests

  Scenario: A server that starts again is not bound by the pause of its last process
    Given a stand-in store with a configuration and 2 servers
    And an entry host that is ready
    And the order in which the servers are preferred is known
    When the preferred server answers 503 without running it and asks for 30 s
    And 2 callers ask one after the other
    And the preferred server starts again under its id
    And 5 callers ask one after the other
    Then the preferred server received 6 requests

  Scenario: When all servers pause, callers are told at once when the first wants work again
    Given a stand-in store with a configuration and 2 servers
    And an entry host that is ready
    And the order in which the servers are preferred is known
    When the preferred server answers 503 without running it and asks for 9 s
    And the second server answers 503 without running it and asks for 4 s
    And 2 callers ask one after the other
    And a caller asks for /read/1
    Then the caller gets 503 within 0.1 s
    And the caller is asked to return after 3 to 5.2 s

  Scenario: A refusal without a time has no effect on later requests
    Given a stand-in store with a configuration and 2 servers
    And an entry host that is ready
    And the preferred server answers 503 without running the request
    When 5 callers ask one after the other
    Then the servers got 10 requests together

  Scenario: Each value of the header has a meaning
    Then these answers ask for a pause or do not
      | status | values     | pause | readable |
      | 503    | 3          | 3     | yes      |
      | 503    | 0.25       | 0.25  | yes      |
      | 503    | 0          | none  | yes      |
      | 503    | -2         | none  | yes      |
      | 503    | 1e9        | 3600  | yes      |
      | 503    | soon       | none  | no       |
      | 503    | nan        | none  | no       |
      | 503    | 2, 5       | 5     | yes      |
      | 503    | soon, 2    | 2     | no       |
      | 200    | 3          | none  | yes      |

  Scenario: The longest of several pauses holds
    Then a pause of 3 s and one of 1 s that is asked for later end after 3 s
    And a pause of 1 s and one of 3 s that is asked for later end after the second

  # Guards against a host that sends to pausing servers, or spreads their load over all.
  Scenario Outline: Pauses move load to the servers that want work
    Given 20 servers of which <share> percent pause for 3 s, one after the other
    When a host gets 200 requests a second for 10 s
    Then no server gets more than 2 requests within a pause
    And at least <served> percent of the requests find a server
    And refused requests are told of a time at which a server wants work

    Examples:
      | share | served |
      | 10    | 100    |
      | 50    | 100    |
      | 100   | 95     |

  # Guards against refusing objects of which all preferred servers pause, although others
  # of the service have room.
  Scenario: While half of the servers pause, all objects are served, the others' as before
    Given a stand-in store with a configuration and 20 servers
    And an entry host that is ready
    And each of 200 objects was asked for once
    And 10 of the servers ask for 8 s
    And each of 200 objects was asked for once
    When each of 200 objects is asked for again
    Then all are served, none by a server that pauses
    And those of other servers are served by the same one as at first

  Scenario: The load of pausing servers is spread over all others, object by object
    Given 30 servers in 2 regions, and 2000 objects
    When the first 20 of them pause
    Then each object has 2 servers that do not, the first of its preferred ones before others
    And no server that does not pause is the first choice of more than 3 times the mean

  # Guards against a pause or a limit that ends because the store lost the registration.
  Scenario: Pauses and limits outlast a registration that is missing for a while
    Then a pause of 5 s holds when the server's entry is missing after 1 s and back after 3 s
    And a limit holds when the server's entry is missing after 1 s and back after 3 s

  # Guards against requests that are sent to a server because it was chosen before it
  # asked for the pause, while the connection took its time.
  Scenario: Requests that wait for a connection heed a pause that begins meanwhile
    Given a fleet of 1 hosts and 3 servers
    And new connections to servers take 0.3 s
    When 8 callers ask for one object at once, and its server asks for 3 s at the first request
    Then that server received 1 request, and all callers were served

  # Guards against any way past a pause under load: many objects, second attempts, pauses
  # that are renewed or shortened, rewritten entries, several hosts.
  Scenario: No host sends more than two requests to a server that asked it for a pause
    Given a fleet of 4 hosts and 8 servers
    And the servers ask for pauses of 0.8 to 3 s at one in 12 requests
    And the servers' entries are rewritten every 0.3 s
    When callers send 160 requests a second to all the hosts for 6 s
    Then the servers asked at least 50 times
    And no host sent a server more than 2 requests from 0.5 s after it was asked to the end
    And at least 90 percent of the tries were served
