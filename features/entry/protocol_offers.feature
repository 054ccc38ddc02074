Feature: A request that offers another protocol is handled as any other

  Some clients offer HTTP/2 or WebSocket with their requests (Upgrade). Hosts and servers
  do not accept that. The request runs with its whole body, and its connection stays in
  step: each answer belongs to a request.

  Background:
    Given a stand-in store with a configuration and 2 servers
    And an entry host that is ready

  # Guards against a request that is passed on without its body as its parser stops at the
  # end of its head, and against an answer that no request asked for.
  Scenario Outline: An offer of <protocol> by a request <body>, <delivery>
    When a caller offers <protocol> with a request <body>, sent <delivery>, between two plain ones
    Then all three requests run with their whole bodies and are answered in order
    And no more bytes follow the answers
    And the servers get nothing of the offer

    Examples: HTTP/2
      | protocol | body                              | delivery                      |
      | h2c      | with a length                     | in one packet                 |
      | h2c      | with a length                     | with the body in a later one  |
      | h2c      | with a length                     | byte by byte                  |
      | h2c      | in chunks                         | in one packet                 |
      | h2c      | in chunks                         | with the body in a later one  |
      | h2c      | in chunks                         | byte by byte                  |
      | h2c      | without a body                    | in one packet                 |
      | h2c      | without a body                    | byte by byte                  |
      | h2c      | that awaits an interim answer     | with the body in a later one  |
      | h2c      | that awaits an interim answer     | byte by byte                  |
      | h2c      | with an empty body                | in one packet                 |

    Examples: WebSocket
      | protocol  | body                             | delivery                      |
      | websocket | without a body                   | in one packet                 |
      | websocket | with a length                    | byte by byte                  |

  Scenario: An offer may be the last request of a connection
    When a caller offers h2c with a request with a length and "Connection: close"
    Then it is answered with 200, and the connection ends

  # Guards against a part of a message that is passed on although it never becomes whole.
  Scenario Outline: What cannot be handled reaches no server: <request>, <delivery>
    When a caller sends <request> <delivery>
    Then it is answered with <status>, and the connection ends
    And no server got a request

    Examples:
      | request                              | delivery      | status |
      | CONNECT                              | in one packet | 501    |
      | CONNECT                              | byte by byte  | 501    |
      | the preface of HTTP/2                | in one packet | 400    |
      | the preface of HTTP/2                | byte by byte  | 400    |
      | an offer with two lengths            | in one packet | 400    |
      | an offer with a chunk that is none   | in one packet | 400    |
      | an offer with a chunk that is none   | byte by byte  | 400    |

  Scenario: An offer whose connection ends in its body reaches no server
    When a caller offers h2c with half of a body and leaves
    Then no server got a request

  # Guards against servers that offer or accept a protocol which nobody asked for.
  Scenario Outline: A server that sends <answer> first
    Given every server sends <answer> before its answer
    When a caller asks for /read/1
    Then the caller gets <status>

    Examples:
      | answer                              | status |
      | an interim answer with hints        | 200    |
      | an interim answer with an offer     | 200    |
      | a switch to another protocol        | 502    |

  Scenario Outline: A server's answer that offers another protocol is passed on: <framing>
    Given every server offers another protocol with its answer, <framing>
    When a caller asks for /read/1
    Then the caller gets 200 with the body of a server
    And the answer has no offer

    Examples:
      | framing       |
      | with a length |
      | in chunks     |
