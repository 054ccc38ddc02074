Feature: Requests within the limits are served, and no caller holds more than its part

  Scenario Outline: A head of exactly the limit is served: <header> in reads of <size> B
    Given a port for callers with heads of up to 4096 bytes
    When a caller sends a head of exactly 4096 bytes of <header> in reads of <size> B
    Then its request is handled

    Examples:
      | header      | size |
      | a:\|        | 1    |
      | a:\|        | 4096 |
      | a: b\|      | 1000 |
      | name: text\| | 1   |

  # Guards against headers that stay in memory until the refused connection has ended.
  Scenario: A refused head is dropped at once
    Given a port for callers with heads of up to 4096 bytes
    When a caller sends more headers of four bytes than the limit allows
    Then it gets status 431 and the host holds none of them

  # The one that began first is not from a caller that sends its request in one go.
  Scenario: Beyond the limit, the request that began first is refused with a promise
    Given memory for requests of 100000 bytes, of which one of 16384 is small
    When callers 1 to 10 begin bodies of 20000 bytes
    Then callers 1 to 6 get status 503 with a Retry-After
    And callers 7 to 10 have no response yet
    And a request with a body of 10000 bytes is served
    And the requests that are left take at most 100000 bytes

  Scenario: Small requests are received whatever others hold
    Given memory for requests of 100000 bytes, of which one of 16384 is small
    And 40 requests with bodies of 10000 bytes are being handled
    When callers 1 to 3 begin bodies of 20000 bytes
    Then callers 1 to 3 get status 503 with a Retry-After
    And a request with a body of 10000 bytes is served

  Scenario: The memory of requests is released however they end
    Given memory for requests of 100000 bytes, of which one of 16384 is small
    When callers 1 to 4 begin bodies of 20000 bytes
    And they disconnect, send bytes that are no HTTP, send too much, and complete it
    Then requests take no memory

  # Guards against a read that holds thousands of requests.
  Scenario Outline: Of many requests that arrive at once, few are held, and all are answered in order: reads of <size> B
    Given a port for callers with heads of up to 4096 bytes
    When a caller sends 300 requests in reads of <size> B before any is handled
    Then at most 7 requests are held and reading is paused
    And the caller gets all 300 responses in order

    Examples:
      | size |
      | 1    |
      | 21   |
      | 4096 |

  Scenario: A caller that sends many requests lets others have their turn
    Given a port for callers with heads of up to 4096 bytes
    When a caller sends 100 requests at once, and another one a single request
    Then the other's request is among the first 3 that are handled

  Scenario: A caller that does not read its responses has no more requests handled
    Given a port for callers with heads of up to 4096 bytes
    When a caller that reads nothing sends 100 requests
    Then 1 request is handled until the caller reads
    And the connection is aborted after the idle timeout

  Scenario Outline: Empty lines before a request are skipped up to the limit on heads: <line>
    Given a port for callers with heads of up to 4096 bytes
    When a caller sends empty lines of <line> for <size> bytes, then a request
    Then its <outcome>

    Examples:
      | line  | size | outcome                |
      | CR LF | 4000 | request is handled     |
      | LF    | 4000 | request is handled     |
      | CR LF | 5000 | request is refused     |
      | LF    | 5000 | request is refused     |

  # Guards against work for each chunk, of which a read of a body can hold 43,690.
  Scenario: The limits on a body in chunks are checked once a read
    Given a port for callers with heads of up to 4096 bytes
    When a caller sends a body of 600 bytes in chunks of one byte in one read
    Then the limits were looked up at most 10 times
    And its request is handled with a body of 600 bytes

  Scenario: A body that is still arriving holds nothing once its request has ended
    Given a port for callers with heads of up to 4096 bytes
    And bodies are forwarded as they arrive
    When a caller sends 40000 of 90000 bytes, and gets a response
    Then 0 bytes of the body wait in the host

  Scenario: Reads of a body in tiny chunks are small, and those of other bodies are not
    Given a port for callers with heads of up to 4096 bytes
    When callers send bodies in chunks of 1 and of 1000 bytes
    Then the next reads take at most 4096 and 262144 bytes

  Scenario: A connection that its caller has reset ends without an error
    Given a port for callers with heads of up to 4096 bytes
    When a caller resets its connection just before its last response
    Then the connection is aborted and no task has failed
