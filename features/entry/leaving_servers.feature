Feature: A server that says in an answer that it leaves gets no more requests

  A backend server may announce in its answers that it leaves, before the store says so or
  while the store cannot be reached.

  Background:
    Given a stand-in store with a configuration and 2 servers
    And an entry host that is ready
    And the order in which the servers are preferred is known

  Scenario Outline: Whatever answer says so, the server gets no more requests
    When the preferred server answers <answer> and says that it leaves
    And a caller asks for /read/1
    And 5 callers ask one after the other
    Then the preferred server received 1 request

    Examples:
      | answer                   |
      | 200                      |
      | 404                      |
      | 500                      |
      | 503 without running it   |

  Scenario: The store's list does not bring back a server that leaves
    When the preferred server answers 200 and says that it leaves
    And a caller asks for /read/1
    And the preferred server registers as ready again
    And 5 callers ask one after the other
    Then the preferred server received 1 request

  Scenario: The next process of a server is used again
    When the preferred server answers 200 and says that it leaves
    And a caller asks for /read/1
    And the preferred server starts again under its id
    And 5 callers ask one after the other
    Then the preferred server received 6 requests

  Scenario: Another server that takes over the address is used
    When the preferred server answers 200 and says that it leaves
    And a caller asks for /read/1
    And another server takes over the address of the preferred server
    And 40 callers ask for different objects
    Then requests reached that address again

  Scenario: When all servers leave, callers are refused at once
    When every server answers 200 and says that it leaves
    And 2 callers ask one after the other
    And a caller asks for /read/1
    Then the caller gets 503 with a Retry-After header
    And the caller gets 503 within 0.1 s

  Scenario Outline: Only the value 1 says that a server leaves
    When the preferred server answers 200 with headers <headers>
    And a caller asks for /read/1
    And 5 callers ask one after the other
    Then the preferred server received <count> requests

    Examples:
      | headers                                  | count |
      | Server-Leaving: 0                        | 6     |
      | Server-Leaving: soon                     | 6     |
      | Server-Leaving: 0 and Server-Leaving: 1  | 1     |

  Scenario: What a server reports of itself does not reach callers
    When the preferred server answers 200 with headers Server-Leaving: 1 and Server-Limit: 5 and Server-Load: 1,0,4
    And a caller asks for /read/1
    Then the caller gets none of the headers server-leaving, server-limit
