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
