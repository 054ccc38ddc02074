@fleet.3
Feature: Requests are forwarded completely, at most once, and only for their customer

  Background:
    Given the fleet is settled

  Scenario Outline: An ambiguous or malformed request is refused: <case>
    When a caller sends "<case>"
    Then the answer is a 4xx and the connection is closed
    And no server received the request

    Examples:
      | case                               |
      | both lengths                       |
      | two lengths                        |
      | a negative length                  |
      | a signed length                    |
      | an unknown transfer coding         |
      | chunked twice                      |
      | a space before the colon           |
      | a folded header                    |
      | a bare line feed                   |
      | a null byte in a header            |
      | a header without a name            |
      | two hosts                          |
      | a dot segment                      |
      | an encoded dot segment             |
      | a backslash in the path            |
      | an absolute target                 |
      | a timeout that is no number        |
      | a hundred and one headers          |
      | a head of a megabyte               |
      | the key in the target              |

  Scenario Outline: A body is forwarded completely: <case>
    When ana sends "<case>"
    Then the response is complete
    And the server got <bytes> bytes

    Examples:
      | case                     | bytes  |
      | no body                  | 0      |
      | a fixed body             | 300000 |
      | a chunked body           | 300000 |
      | a body after 100-continue | 300000 |
      | a HEAD request           | 0      |

  Scenario Outline: An invalid body is never forwarded as complete: <case>
    When ana sends "<case>"
    Then no server received a complete request
    And the caller gets no response of a server

    Examples:
      | case                      |
      | a body that ends early    |
      | a chunk with a bad size   |
      | a chunk without its end   |
      | a chunked body without end |

  Scenario: Hop-by-hop headers and keys are not forwarded
    When ana sends hop-by-hop headers, a key in two places and a forged customer
    Then the server received only end-to-end headers, its customer, and no key

  Scenario: A refusal before the body is read does not ask for the body
    When a caller without a key expects 100-continue
    Then the answer is 401 not-run and no body was asked for

  Scenario Outline: Keys: <case> gets <status> <reason>
    When a caller sends "<case>"
    Then the answer is <status> <reason>

    Examples:
      | case             | status | reason        |
      | no key           | 401    | no-key        |
      | an unknown key   | 401    | unknown-key   |
      | a huge key       | 401    | unknown-key   |
      | no key to public | 200    | -             |
      | an unknown path  | 404    | no-route      |

  Scenario: A withdrawn key is refused within 3 s, on open connections too
    Given a connection on which ana's requests are answered
    When that key is withdrawn
    Then within 3 s every host refuses it, on that connection too

  Scenario Outline: A server that <fault> leads to <status> for <method>
    Given all requests go to a server that <fault>
    When ana sends "<method>"
    Then the outcome is <outcome> with status <status>
    And the server got <sent> requests

    Examples:
      | fault                                | method | status | outcome | sent |
      | closes without an answer             | GET    | 502    | unknown | 1    |
      | closes without an answer             | POST   | 502    | unknown | 1    |
      | resets the connection                | POST   | 502    | unknown | 1    |
      | answers garbage                      | POST   | 502    | unknown | 1    |
      | answers for another request          | GET    | 502    | unknown | 1    |
      | truncates a small answer             | GET    | 502    | unknown | 1    |
      | never answers                        | POST   | 504    | unknown | 1    |
      | sheds load                           | POST   | 503    | not-run | 1    |
      | does not listen                      | POST   | 502    | not-run | 0    |
      | answers 204                          | GET    | 204    | none    | 1    |
      | answers 304                          | GET    | 304    | none    | 1    |
      | answers 100 first                    | GET    | 200    | none    | 1    |
      | answers before it read the body      | POST   | 413    | none    | 1    |

  Scenario: A truncated response reaches the caller as an error
    Given all requests go to a server that truncates a large answer
    When ana reads a large answer
    Then the caller's connection is closed early

  Scenario: A failure of the host itself is never reported as not run
    Given a host whose forwarder fails after the server ran the request
    When ana sends "POST"
    Then the outcome is unknown with status 500

  Scenario: A safe request is retried on another server, an unsafe one is not
    Given one of two servers closes without an answer
    When ana sends 8 GET and 20 POST requests one after another
    Then every GET is answered, and no POST was sent twice

  Scenario: A connection on which the server stopped responding is replaced
    Given all requests go to a server that answers once and then stops responding
    When ana sends GET twice, 2 s apart, with a timeout of 1 s
    Then the first is answered and the second times out with 504
    And a third GET goes over a new connection and is answered

  Scenario: An unsafe request does not reuse an old connection
    Given all requests go to a server that keeps connections open
    When ana sends POST twice, 2 s apart
    Then two connections were opened

  Scenario: A late response is never taken for that of another request
    Given all requests go to a server that answers 1 s late
    When ana sends GET with a timeout of 300 ms and then GET without
    Then the first is answered 504 and the second gets its own answer

  Scenario: When the caller disconnects, the connection to the server is closed
    Given all requests go to a server that never answers
    When ana sends GET and closes the connection after 200 ms
    Then the server's connection is closed within 1 s

  Scenario: A request with an idempotency key runs once, also over another host
    When ana sends POST with the same idempotency key to every host
    Then one answer is 200 and the others are 409 claimed
    And one server ran it

  Scenario: An idempotency key whose request certainly did not run can be sent again
    Given all requests go to a server that does not listen
    When ana sends POST with an idempotency key
    Then the outcome is not-run with status 502
    When the server works again and ana repeats it
    Then the outcome is none with status 200

  Scenario: While the platform does not respond, an idempotency key is refused as not run
    Given the platform loses every answer and stores nothing
    When ana sends POST with an idempotency key
    Then the outcome is not-run with status 503

  Scenario: A lost response of the platform does not lose the claim
    Given the platform loses the answer of the next write
    When ana sends POST with an idempotency key
    Then the outcome is none with status 200
    When ana repeats it
    Then the outcome is unknown with status 409

  Scenario: Random heads, targets and chunked bodies are read or refused
    Then 500 random heads, targets and bodies parse or raise an expected error
