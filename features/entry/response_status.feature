Feature: A response whose status is none fails the attempt

  # RFC 9110, 15: a status is from 100 to 599.
  Scenario Outline: Such a response is lost at once: <status>, <kind>
    Given a connection on which a request waits for its response
    When the server sends status <status> in a response <kind>
    Then the response is lost
    And the connection is closed

    Examples:
      | status | kind             |
      | 000    | with a length    |
      | 000    | without a length |
      | 000    | in chunks        |
      | 000    | to HEAD          |
      | 001    | with a length    |
      | 099    | without a length |
      | 099    | to HEAD          |
      | 600    | with a length    |
      | 600    | to HEAD          |
      | 999    | without a length |
      | 999    | in chunks        |

  Scenario Outline: An attempt at a server that sends it fails: <method> <path>, <status>
    Given a stand-in store with a configuration and 2 servers
    And an entry host that is ready
    And the preferred server answers with status <status>
    When a caller sends <method> to <path>1
    Then the caller gets status <outcome> and no bytes of that server

    Examples:
      | status | method | path    | outcome |
      | 000    | GET    | /read/  | 200     |
      | 999    | GET    | /read/  | 200     |
      | 000    | POST   | /pay/   | 502     |
      | 600    | POST   | /pay/   | 502     |
      | 000    | POST   | /send/  | 502     |

  Scenario Outline: The clients with urllib3 take none of them: <status>
    Given a server that answers every caller with status <status>
    When the threaded host's client reads the response for at most 3 s
    Then the response is lost within 3 s
    When it is probed, or asked for an object, with 1 s for the response
    Then both failed

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |
