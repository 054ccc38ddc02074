Feature: Large request bodies are forwarded as they arrive

  Background:
    Given a stand-in store with a configuration and 2 servers
    And an entry host that forwards bodies of 10 kB or more as they arrive
    And every server receives bodies and answers

  Scenario: A large body reaches the server before the caller has sent all of it
    When an upload of 40000 bytes to /bigpay/1 begins with 20000 bytes
    Then a server has received 20000 bytes
    When the rest of the upload is sent
    Then the upload is answered with 200 and the connection stays open
    And a server received the body of 40000 bytes
    And an upload of 40000 bytes that may be repeated uses the same connections
    And one that may run once uses a new connection to the server

  Scenario Outline: What a server gets does not depend on the length: <length>
    When an upload of <length> bytes to /bigpay/1 is sent
    Then the upload is answered with 200 and the connection stays open
    And a server received the body of <length> bytes
    And <streamed> request bodies were forwarded as they arrived

    Examples:
      | length   | streamed |
      | 9999     | 0        |
      | 10000    | 1        |
      | 700000   | 1        |
      | 20000000 | 1        |

  Scenario Outline: What a server gets of a body in chunks: <length> bytes
    When a chunked upload of <length> bytes to /bigpay/1 is sent
    Then the upload is answered with 200 and the connection stays open
    And a server received the body of <length> bytes
    And <forwarded> request bodies were forwarded as they arrived

    Examples:
      | length   | forwarded |
      | 0        | 0         |
      | 9000     | 0         |
      | 40000    | 1         |
      | 700000   | 1         |
      | 20000000 | 1         |

  # Guards against a part of a body that a server takes for all of it.
  Scenario Outline: A caller that breaks off a body in chunks ends the request at the server: <path>
    When a chunked upload to <path> breaks off after 40000 bytes
    Then a server saw the connection end in the body
    And the servers got 1 request together

    Examples:
      | path      |
      | /big/1    |
      | /bigpay/1 |

  Scenario: A body in chunks that passes the limit is refused, and ends at the server
    When a chunked upload of 70000000 bytes to /bigpay/1 is sent
    Then the upload is answered with 413 and the connection is closed
    And a server saw the connection end in the body

  Scenario: Bodies in chunks beyond the host's memory are refused
    Given the host has memory for 0 body that is forwarded as it arrives
    When a chunked upload of 700000 bytes to /bigpay/1 is sent
    Then the upload is answered with 503 and the connection is closed
    And no server got a request

  Scenario Outline: A caller that breaks off ends the request at the server: <path>
    When an upload of 40000 bytes to <path> begins with 20000 bytes
    Then a server has received 20000 bytes
    When the caller of the upload <breaks>
    Then the server's connection is closed within 0.5 s
    And the host holds no memory for bodies
    And the request ended as caller-gone
    And none of the servers is paused
    And the servers got 1 request together

    Examples:
      | path      | breaks                |
      | /big/1    | resets the connection |
      | /bigpay/1 | resets the connection |
      | /bigpay/1 | closes the connection |

  Scenario: A caller that sends less than its head promises is answered at the deadline
    When 4 uploads of 40000 bytes to /short/1 begin with 20000 bytes
    Then all uploads are answered with 504 and their connections closed
    And the request ended as caller-too-slow
    And none of the servers is paused
    And the host holds no memory for bodies

  Scenario: A caller that stops in the middle gets a 408 after the idle timeout
    When 2 uploads of 40000 bytes to /bigpay/1 begin with 20000 bytes
    Then all uploads are answered with 408 and their connections closed
    And none of the servers is paused
    And the host holds no memory for bodies

  Scenario Outline: A server that answers early: <status>, <fault>
    Given every server answers <status> after 20000 bytes, with <extra>, and <fault>
    When an upload of 20000000 bytes to <path> is sent
    Then the upload is answered with <status> and the connection is closed
    And the servers got 1 request together
    And the request ended as <reason>
    And none of the servers is paused

    Examples:
      | status | extra          | fault    | path      | reason    |
      | 413    | nothing        | reads on | /bigpay/1 | answered  |
      | 413    | nothing        | closes   | /bigpay/1 | answered  |
      | 413    | nothing        | closes   | /big/1    | answered  |
      | 503    | Not-Run: 1     | reads on | /big/1    | body-sent |
      | 503    | Not-Run: 1     | closes   | /bigpay/1 | body-sent |
      | 200    | nothing        | reads on | /big/1    | answered  |

  Scenario: An early refusal of a server tells when to return, and takes no quota
    Given every server answers 503 after 20000 bytes, with Not-Run: 1, and closes
    When an upload of 400000 bytes to /bigpay/1 is sent
    Then the upload is answered with 503 and the connection is closed
    And the answer to the upload has a Retry-After header
    And the request was refunded to the customer's quota

  Scenario: A refusal does not wait for the body
    When an upload of 40000 bytes to /bigpay/1 with an unknown key begins with 0 bytes
    Then the upload is answered with 401 and the connection is closed
    And no server got a request

  Scenario: A caller that waits for 100 Continue gets it once there is a server
    When an upload of 40000 bytes to /bigpay/1 waits for 100 Continue
    Then the caller gets 100 Continue before the answer
    And a server received the body of 40000 bytes

  Scenario: A caller that waits for 100 Continue and is refused gets no such response
    When an upload of 40000 bytes with an unknown key waits for 100 Continue
    Then the upload is answered with 401 and the connection is closed

  Scenario: A server that takes the body more slowly than the caller sends it
    Given every server reads nothing of a body for 0.6 s
    When an upload of 40000000 bytes to /big/1 is sent for 0.5 s
    Then the caller could not send all of it
    And the host held at most 64 KiB of bodies
    When the rest of the upload is sent
    Then the upload is answered with 200 and the connection stays open
    And a server received the body of 40000000 bytes

  Scenario: Another server is tried if the first cannot be reached
    Given the preferred server has ended
    When an upload of 400000 bytes to /bigpay/1 is sent
    Then the upload is answered with 200 and the connection stays open
    And a server received the body of 400000 bytes

  Scenario: Another server is tried if no byte of the body was forwarded
    Given the preferred server resets connections after the head
    When an upload of 400000 bytes to /big/1 begins with 0 bytes
    And the rest of the upload is sent 0.3 s later
    Then the upload is answered with 200 and the connection stays open
    And a server received the body of 400000 bytes
    And the servers got 2 requests together

  Scenario: No other server is tried once a byte of the body was forwarded
    Given the preferred server resets connections after a part of the body
    When an upload of 400000 bytes to /big/1 is sent
    Then the upload is answered with 502 and the connection is closed
    And the servers got 1 request together

  Scenario: Bodies beyond the host's memory are refused and not run
    Given the host has memory for 1 body that is forwarded as it arrives
    When an upload of 40000 bytes to /bigpay/1 begins with 20000 bytes
    And another upload of 40000 bytes to /bigpay/1 is sent
    Then the other upload is answered with 503 and a Retry-After header
    And 1 request was refused for memory
    When the rest of the upload is sent
    Then the upload is answered with 200 and the connection stays open
    And the servers got 1 request together
    And the host holds no memory for bodies

  Scenario: A host that forwards a large body to one without memory for it
    Given the host has memory for 1 body that is forwarded as it arrives
    When an upload of 40000 bytes to /bigpay/1 begins with 20000 bytes
    And another host forwards an upload of 400000 bytes
    Then the upload is answered with 503 and the connection is closed
    And the answer names the request and the refusal no-memory

  Scenario: A request with a large body and a large response needs memory for one
    Given the host has memory for 1 body that is forwarded as it arrives
    And every server receives bodies and answers with 300000 bytes
    When an upload of 40000 bytes to /bigpay/1 is sent
    Then the upload is answered with 200 and the connection stays open
    And the host holds no memory for bodies

  Scenario: Pipelined uploads and other requests are answered in order
    When 3 uploads of 40000 bytes and 3 small requests are sent in one packet
    Then 6 responses arrive in order
    And 3 request bodies were forwarded as they arrived

  Scenario: A refusal never gets into a response that is being forwarded
    Given every server sends bodies of 300000 bytes
    When a reader sends a request to /big/1 and bytes that are no head behind it
    Then the caller gets the whole body of 300000 bytes
    And the next response on the connection is 400

  Scenario: A planned stop cuts no upload that is under way
    When an upload of 40000 bytes to /bigpay/1 begins with 20000 bytes
    And the host is stopped, and the rest of the upload is sent 0.5 s later
    Then the upload is answered with 200 and the connection is closed
    And a server received the body of 40000 bytes
    And the host aborted no request

  Scenario: A large body in a request that another host forwarded
    When another host forwards an upload of 400000 bytes
    Then the upload is answered with 200 and the connection stays open
    And a server received the body of 400000 bytes
    And 1 request bodies were forwarded as they arrived
