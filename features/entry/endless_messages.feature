Feature: Messages without end are cut off at a limit

  Scenario Outline: A response without end fails at its limit: <kind>
    Given a connection on which a request waits for its response
    When the server sends <kind> in reads of 16 KiB
    Then the response is lost after at most <KiB> KiB
    And the connection is closed

    Examples:
      | kind                             | KiB   |
      | one header without end           | 80    |
      | headers without end              | 80    |
      | a status line without end        | 80    |
      | interim responses without end    | 16    |
      | responses to other requests      | 16    |
      | a chunk extension without end    | 80    |
      | extensions of one-byte chunks    | 96    |
      | trailers without end             | 96    |
      | one trailer without end          | 96    |
      | a body without end               | 32800 |
      | chunks of 8 bytes without end    | 53300 |

  Scenario: A long response in chunks of one byte is complete
    Given a connection on which a request waits for its response
    When the server sends a body of 200000 bytes in chunks of one byte
    Then the response has a body of 200000 bytes

  Scenario: A trailer is dropped and does not become a header
    Given a connection on which a request waits for its response
    When the server sends a chunked body with a trailer
    Then the response has no header of that name

  Scenario: The longest of all responses is aborted when all together are too long
    Given responses of which all together may hold 1000 bytes
    When "short" receives 300 bytes, "long" 600 and "short" 200 more
    Then "long" is aborted and "short" is not
    And 500 bytes are held

  Scenario Outline: Twenty responses without end at once take less than 64 MB: <kind>
    Given a server that sends <kind> to every caller
    When a process sends requests on 20 connections to it at once
    Then all 20 responses are lost
    And the process needed less than 64 MB

    Examples:
      | kind                             |
      | one header without end           |
      | headers without end              |
      | a status line without end        |
      | interim responses without end    |
      | a chunk extension without end    |
      | trailers without end             |
      | a body without end               |
      | chunks of 8 bytes without end    |

  Scenario Outline: The threaded host's client ends a response without end: <kind>
    Given a server that sends <kind> to every caller
    When the threaded host's client reads the response for at most 3 s
    Then the response is lost within 3 s

    Examples:
      | kind                          |
      | one header without end        |
      | headers without end           |
      | a status line without end     |
      | interim responses without end |
      | a chunk extension without end |
      | extensions of one-byte chunks |
      | trailers without end          |
      | one trailer without end       |

  Scenario Outline: A probe or a call of the object store ends a response without end: <kind>
    Given a server that sends <kind> to every caller
    When it is probed, or asked for an object, with 1 s for the response
    Then both fail within 3 s

    Examples:
      | kind                          |
      | headers without end           |
      | interim responses without end |
      | a body without end            |
      | trailers without end          |

  Scenario Outline: A response that arrives slowly is lost at the deadline: <kind>
    Given a server that sends <kind> in reads of 1 byte to every caller
    When a request with a deadline of 0.5 s is sent to it
    Then the response is not complete within 0.5 s

    Examples:
      | kind                          |
      | headers without end           |
      | interim responses without end |
      | a body without end            |

  Scenario Outline: A request without end is refused: <kind>
    Given a caller's connection with a limit of 4 KiB on the head
    When the caller sends <kind> in reads of 1 KiB
    Then the caller gets status <status> after at most <KiB> KiB

    Examples:
      | kind                          | status | KiB |
      | one header without end        | 431    | 8   |
      | headers without end           | 431    | 8   |
      | a chunk extension without end | 431    | 12  |
      | trailers without end          | 431    | 16  |
      | one trailer without end       | 431    | 16  |

  Scenario: A request whose body arrives for more than a minute is refused
    Given a caller's connection with a limit of 4 KiB on the head
    When the caller sends one byte of the body each second for 61 s
    Then the caller gets status 408

  Scenario Outline: The operators' port of the threaded host takes a bounded part of <kind>
    Given the operators' port of a threaded host
    When a client sends it up to 32 MiB of <kind>
    Then the port ends the connection before
    And it answers an ordinary request

    Examples:
      | kind                   |
      | headers without end    |
      | one header without end |
      | a body in a GET        |
