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
