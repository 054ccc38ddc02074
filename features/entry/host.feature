Feature: An entry host serves requests according to the objects in the store

  Background:
    Given a stand-in store with a configuration and 2 servers
    And an entry host that is ready

  Scenario: A request reaches a server with the customer's name and without the key
    When a caller asks for /read/1
    Then the caller gets 200 with the body of a server
    And the server got customer acme, the server's own id, no key and at most 1000 ms

  Scenario Outline: A request that the configuration does not allow is refused: <case>
    When a caller asks for <path> with key "<key>"
    Then the caller gets <status>
    And no server got a request

    Examples:
      | case            | path     | key  | status |
      | unknown key     | /read/1  | nope | 401    |
      | no key          | /read/1  |      | 401    |
      | no route        | /none/1  | k-1  | 404    |

  Scenario: A public route needs no key and forwards no customer
    When a caller asks for /open/1 with a customer header of its own
    Then the caller gets 200 with the body of a server
    And the server got no customer

  Scenario: A withdrawn key stops working and a new route starts
    When the operator writes version 2 without key k-1 and with route /new/
    Then a caller with key k-1 gets 401 within 1 s
    And a caller with key k-2 gets 200 for /new/1

  Scenario: An older version or an unreadable one changes nothing
    When the operator writes version 0 without key k-1 and with route /new/
    And the operator writes an unreadable configuration
    And another 0.3 s pass
    Then a caller with key k-1 gets 200 for /read/1

  Scenario: A caller that ran out of attempts while servers have room may return soon
    Given 4 more servers
    And every server answers 503 without running the request
    When a caller of /read/1 is refused
    Then it may return after at most 0.15 s

  Scenario Outline: A request that a server refuses without running it is retried: <kind>
    Given the preferred server answers 503 without running the request
    When a caller sends <method> <path>
    Then the caller gets 200 with the body of a server
    And each server got 1 request

    Examples:
      | kind           | method | path    |
      | idempotent     | GET    | /read/1 |
      | non-idempotent | POST   | /pay/1  |
      | upload         | POST   | /send/1 |

  Scenario: An address that answers for another server is not used again
    Given the preferred server answers 421
    When a caller asks for /read/1
    Then the caller gets 200 with the body of a server
    When a caller asks for /read/1
    Then the preferred server received 1 request

  Scenario Outline: A lost answer: <kind>
    Given the preferred server closes the connection after it received a request
    When a caller sends <method> <path>
    Then the caller gets <status>
    And the servers got <arrivals> requests together

    Examples:
      | kind           | method | path    | status | arrivals |
      | idempotent     | GET    | /read/1 | 200    | 2        |
      | non-idempotent | POST   | /pay/1  | 502    | 1        |
      | upload         | POST   | /send/1 | 502    | 1        |

  Scenario Outline: An invalid answer is not returned as a success: <fault>
    Given every server answers with <fault>
    When a caller sends POST /pay/1
    Then the caller gets 502

    Examples:
      | fault                        |
      | a body that ends too early   |
      | bytes that are no answer     |
      | an encoded body              |

  Scenario Outline: A server whose answers have no end is closed early and paused: <fault>
    Given every server answers with <fault>
    When a caller sends POST /pay/1
    Then the caller gets 502 within 0.5 s
    When a caller sends GET /read/1
    Then one of the servers is paused

    Examples:
      | fault                         |
      | headers without end           |
      | interim responses without end |

  Scenario: An answer to another request is discarded, and the right one awaited
    Given every server answers with only another request's id
    When a caller sends POST /pay/1
    Then the caller gets 504 after 1 s

  Scenario: An answer without a length is complete when the connection is closed
    Given every server answers without a length and ends the connection
    When a caller sends POST /pay/1
    Then the caller gets 200 with the body of a server

  Scenario: A late second answer never reaches the next request
    Given every server sends a second answer after each answer
    When 6 callers ask one after the other
    Then each caller gets the answer to its own request

  # Guards against a request that runs twice, or is refused although it runs, as a late
  # rejection without an id is taken for the answer to it.
  Scenario: A late rejection without an id is not taken for the answer to the next request
    Given every server sends a late rejection without an id when it gets the next request
    When 12 callers read and write by turns
    Then each write got 200 and ran once

  Scenario Outline: A server that exceeds the route's timeout: <kind>
    Given every server takes 3 s
    When a caller sends <method> <path>
    Then the caller gets 504 after 1 s
    And the servers got 1 request together

    Examples:
      | kind           | method | path    |
      | idempotent     | GET    | /read/1 |
      | non-idempotent | POST   | /pay/1  |

  Scenario: An idempotent request is cancelled when its caller disconnects
    Given every server takes 3 s
    When a caller of /read/1 disconnects after 0.2 s
    Then a server's connection is closed within 0.5 s

  Scenario: Servers are not paused for callers that disconnect
    Given every server takes 3 s
    When 6 callers of /read/1 disconnect after 0.1 s
    Then none of the servers is paused

  Scenario: Bytes of a body are released once when its caller disconnects
    Given every server takes 0.4 s
    When 1000 bytes are sent to /pay/1 by a caller that disconnects after 0.1 s
    Then the host buffers no bytes once the server has answered

  Scenario: A request whose handler raises an error gets a 500
    Given the handler of requests raises an error
    When a caller asks for /read/1
    Then the caller gets 500

  Scenario: A non-idempotent request continues when its caller disconnects
    Given every server takes 0.6 s
    When a caller of /pay/1 disconnects after 0.2 s
    Then no server's connection is closed within 0.6 s

  Scenario: A server that drains or whose entry is removed receives no more requests
    Given the order in which the servers are preferred is known
    When the preferred server starts to drain
    And a caller asks for /read/1
    Then the preferred server received 0 requests
    When the entry of the second server is removed
    And a caller asks for /read/1
    Then the caller gets 503 with a Retry-After header

  Scenario: An evacuated data centre receives no requests until the evacuation ends
    When data centre dc-1 is evacuated
    And a caller asks for /read/1
    Then the caller gets 503 with a Retry-After header
    When the evacuation of dc-1 ends
    Then a caller with key k-1 gets 200 for /read/1

  Scenario Outline: A malformed server entry is ignored: <entry>
    When a server entry <entry> is written
    And a caller asks for /read/1
    Then the caller gets 200 with the body of a server

    Examples:
      | entry                       |
      | with an unknown state       |
      | without an address          |
      | with a text for its slots   |
      | that is a number            |

  Scenario Outline: Requests are served while the store fails: <fault>
    When the stand-in store <fault>
    And a caller asks for /read/1
    Then the caller gets 200 with the body of a server
    When the stand-in store works again
    And the operator writes version 2 without key k-1 and with route /new/
    Then a caller with key k-1 gets 401 within 3 s

    Examples:
      | fault                 |
      | answers 503           |
      | answers 429           |
      | compacts its history  |

  Scenario: A watch that was lost while the store did not answer is renewed
    When the stand-in store answers nothing for 2.5 s and never on old connections
    And the operator writes version 2 without key k-1 and with route /new/
    Then a caller with key k-1 gets 401 within 3 s

  Scenario: A watch on a stale connection is renewed while the store answers others
    When the stand-in store never answers on old connections
    And the operator writes version 2 without key k-1 and with route /new/
    Then a caller with key k-1 gets 401 within 4 s

  Scenario Outline: Home regions of route and customer restrict requests: <case>
    When route /read/ has homes "<route>" and customer acme has homes "<customer>"
    And a caller asks for /read/1
    Then the caller gets <status>

    Examples:
      | case              | route | customer | status |
      | here              | north | north    | 200    |
      | no homes          |       |          | 200    |
      | the route's       | south |          | 503    |
      | the customer's    |       | south    | 503    |
      | none in common    | north | south    | 503    |

  Scenario: A planned stop completes requests in flight and closes connections
    Given every server takes 0.5 s
    When the host is stopped while a caller waits for /pay/1
    Then that caller gets 200 and a header that ends the connection
    And the host aborted no request

  Scenario: A look-up returns this host, which is ready once it has a configuration
    Then a look-up from region north returns this host
    And the host reports that it is ready

  Scenario Outline: A caller outside the limits is refused: <case>
    When the raw bytes of <case> are sent
    Then the caller gets <status>
    And no server got a request

    Examples:
      | case                    | status |
      | a head that is too long | 431    |
      | a body that is too long | 413    |
      | bytes that are no head  | 400    |
      | half a head and waits   | 408    |

  Scenario: Bodies beyond the host's buffer limit are refused, and buffers are released
    Given the host may buffer 1500 bytes of bodies
    When 3 callers begin bodies of 1000 bytes and finish them later
    Then at least one of them gets 503 with a Retry-After header
    And the host buffers no bytes afterwards

  Scenario: A burst of changes causes few store calls and takes effect soon
    When the operator writes 20 versions in 0.2 s
    Then the last of them is in effect within 1 s
    And the host made at most 3 watch calls for them

  Scenario: Two requests in one packet are answered one after the other
    When a caller sends two requests in one packet
    Then it gets both answers in order

  Scenario: Requests beyond a customer's rate are refused with a Retry-After header
    When the operator gives customer acme 5 requests a second
    And 30 callers ask at once
    Then at least 10 of them get 429 with a Retry-After header

  Scenario: A host without a configuration answers 503 and is not ready
    Given an entry host whose store is empty
    Then a caller with key k-1 gets 503 for /read/1
    And the host reports that it is not ready

  # Guards against requests that reach a server seconds after they were given up, as bytes
  # that a cut holds up are delivered unless the connection is reset.
  Scenario Outline: The connection of a request that was given up is reset: <method>
    Given every server takes 3 s
    When a caller sends <method> <path>
    Then the caller gets 504 after 1 s
    And a server's connection was reset within 0.5 s

    Examples:
      | method | path    |
      | GET    | /read/1 |
      | POST   | /pay/1  |

  # Guards against a change that comes between two pages of a list, and is in neither the
  # list nor the watch that follows it.
  Scenario: A change between two pages of a list is known
    Given a store of 60 servers that lists 50 at a time
    When the first server starts to drain between two pages of a host's first list
    Then that host knows within 2 s that the first server drains
