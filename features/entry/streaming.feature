Feature: Large responses are forwarded as they arrive

  Background:
    Given a stand-in store with a configuration and 2 servers
    And an entry host that forwards bodies of 10 kB or more as they arrive

  Scenario: A large response reaches the caller before the server has sent all of it
    Given every server sends 20000 of 40000 bytes and waits for a signal
    When a reader asks for /big/1 and reads 20000 bytes of the body
    Then the log shows no end of the request yet
    And the load of one server is 1 request
    When the servers get the signal
    Then the caller gets the whole body of 40000 bytes
    And no server has a request under way
    And a second request is answered on the same connection to the server

  Scenario Outline: The bytes that a caller gets do not depend on the length: <length>
    Given every server sends bodies of <length> bytes
    When a reader asks for /big/1
    Then the caller gets exactly the head that the host sends for <length> bytes
    And <streamed> responses were forwarded as they arrived

    Examples:
      | length | streamed |
      | 0      | 0        |
      | 9999   | 0        |
      | 10000  | 1        |
      | 700000 | 1        |

  Scenario Outline: A response that breaks off never looks complete: <fault>
    Given every server sends 20000 of 40000 bytes and then <fault>
    When a reader asks for <path>
    Then the caller's connection ends after less than 40000 bytes
    And the servers got 1 request together
    And the request ended as <reason>

    Examples:
      | fault                  | path      | reason          |
      | resets the connection  | /big/1    | answer-lost     |
      | closes the connection  | /big/1    | answer-lost     |
      | resets the connection  | /bigpay/1 | answer-lost     |
      | sends nothing for 5 s  | /short/1  | server-too-slow |

  Scenario: Bytes after a large response never reach a caller
    Given every server sends a second response after each body of 40000 bytes
    When 4 requests are sent to /big/1 one after the other
    Then each caller gets only the body of its own response
    And each request came on another connection to a server

  Scenario: A server that sends more slowly than the caller reads
    Given every server sends a body of 40000 bytes in 20 parts with 20 ms between them
    When a reader asks for /big/1
    Then the caller gets the whole body of 40000 bytes

  Scenario: A caller that reads more slowly than the server sends
    Given every server sends bodies of 40000000 bytes
    When a reader asks for /big/1 and reads nothing for 0.6 s
    Then a server could not send all of the body meanwhile
    And the host held at most 64 KiB of bodies
    When the caller reads on
    Then the caller gets the whole body of 40000000 bytes

  Scenario: 200 slow readers of 540 kB take at most 64 KiB each
    Given every server sends bodies of 540000 bytes
    And every server has 200 slots
    And the kernel holds few bytes of the host's responses
    When 200 readers ask for /big/1 and read nothing for 1 s
    Then the host held at most 12800 KiB of bodies
    And all callers get the whole body of 540000 bytes

  Scenario: A caller that leaves midway ends the request at the server
    Given every server sends 20000 of 40000 bytes and waits for a signal
    When a reader of /big/1 leaves after 20000 bytes of the body
    Then the server's connection is closed within 0.5 s
    And the host holds no memory for bodies
    And the request ended as caller-gone
    And none of the servers is paused

  Scenario: A request that may run once goes on when its caller leaves midway
    Given every server sends 20000 of 40000 bytes and waits for a signal
    When a reader of /bigpay/1 leaves after 20000 bytes of the body
    And the servers get the signal
    Then a server could send all of the body
    And the host holds no memory for bodies

  Scenario: A server that cuts off what its caller does not read is not paused
    Given every server sends 40000000 bytes and cuts the connection after 1.3 s
    When 4 readers of /big/1 read nothing for 2 s and then all that comes
    Then they get less than 40000000 bytes each
    And none of the servers is paused
    And the request ended as caller-too-slow

  Scenario: A server that cuts off what the host has no memory for is not paused
    Given the host has memory for 1 body that is forwarded as it arrives
    And every server sends 40000000 bytes and cuts the connection after 1.3 s
    When 4 readers of /big/1 read nothing for 2 s and then all that comes
    Then they get less than 40000000 bytes each
    And none of the servers is paused
    And the request ended as caller-too-slow

  Scenario: A deadline that passes while the caller reads nothing
    Given every server sends bodies of 40000000 bytes
    When 4 readers of /short/1 read nothing for 1 s and then all that comes
    Then they get less than 40000000 bytes each
    And none of the servers is paused
    And the request ended as caller-too-slow

  Scenario: A large response to another request is not forwarded
    Given every server sends a large response to another request first
    When a reader asks for /big/1
    Then the caller gets the whole body of 40000 bytes

  Scenario Outline: A response that is not forwarded as it arrives: <case>
    Given every server answers a large response with <case>
    When a reader sends <method> for /bigpay/1
    Then the caller gets status <status> and <length> bytes
    And 0 responses were forwarded as they arrived

    Examples:
      | case                   | method | status | length |
      | status 404             | POST   | 404    | 40000  |
      | status 500             | POST   | 500    | 40000  |
      | an encoded body        | POST   | 502    | 14     |
      | status 204             | POST   | 204    | 0      |

  Scenario: A HEAD request gets the head alone
    Given every server answers a large response with a head alone
    When a reader sends HEAD for /bigpay/1
    Then the caller gets status 200 and 0 bytes
    And the response states a length of 40000 bytes
    And 0 responses were forwarded as they arrived

  Scenario: Pipelined requests behind a large response are answered in order
    Given every server sends bodies of 300000 bytes
    When a reader sends 4 requests to /big/1 in one packet
    Then it gets 4 bodies of 300000 bytes in order

  Scenario: A planned stop cuts no large response that is under way
    Given every server sends 20000 of 40000 bytes and waits for a signal
    When the host is stopped while a caller reads the body, and the signal comes 0.8 s later
    Then the caller gets the whole body of 40000 bytes
    And the host aborted no request

  Scenario: A planned stop waits for the last bytes of a slow reader
    Given every server sends bodies of 8000000 bytes
    When the host is stopped while a caller reads 8000000 bytes within 1.2 s
    Then the caller gets the whole body of 8000000 bytes
    And the host aborted no request

  Scenario: A caller that asks to close the connection gets the whole body
    Given every server sends bodies of 300000 bytes
    When a reader asks for /big/1 and to close the connection
    Then the caller gets the whole body of 300000 bytes
    And the host closes the connection

  Scenario: A large response to a request that another host forwarded
    Given every server sends bodies of 300000 bytes
    When another host forwards a request for /big/1
    Then the caller gets the whole body of 300000 bytes
    And 1 responses were forwarded as they arrived

  Scenario: Bodies beyond the host's memory wait until others end
    Given the host has memory for 1 body that is forwarded as it arrives
    And every server sends 20000 of 40000 bytes and waits for a signal
    When 3 readers ask for /big/1 at once
    Then the host reserves memory for 1 body and 2 wait
    When the servers get the signal
    Then all callers get the whole body of 40000 bytes
    And the host holds no memory for bodies

  Scenario: Memory is granted in the order of arrival and returned once
    Given memory for 2 bodies
    When bodies a, b, c and d ask for memory
    Then a and b have it
    When c leaves and a ends twice
    Then b and d have it
    When b and d end
    Then no memory is reserved

  Scenario Outline: Memory that is out of range is refused with a hint: <memory> MB
    Then a host with <memory> MB of memory gets the messages "<messages>"

    Examples:
      | memory  | messages   |
      | 15      | entry.E209 |
      | 16      |            |
      | 200     |            |
      | 1000001 | entry.E209 |
      | nan     | entry.E209 |
