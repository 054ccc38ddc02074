Feature: Checkers report violations in a history, and none in a valid one

  Scenario: A valid history violates no guarantee
    Given a valid history
    Then no checker reports a violation

  Scenario Outline: The checker <guarantee> finds <flaw>
    Given a valid history
    When <flaw> is added
    Then only the checker <guarantee> reports a violation

    Examples:
      | guarantee     | flaw                                        |
      | links         | a burst of bytes over a link                |
      | slots         | one more request than a server's slots      |
      | keys          | a request that ran for another customer     |
      | keys          | a key that reached a server                 |
      | keys          | a request with a key withdrawn 4 s before   |
      | rates         | more requests than rate and burst           |
      | answers       | an incomplete response                      |
      | not-run       | a refusal as not run of a request that ran  |
      | once          | a payment that ran twice                    |
      | once          | an idempotency key that ran twice           |
      | drains        | work for a server drained 4 s before        |
      | stops         | an aborted request of a host that stopped   |
      | configuration | a host that went back to an older revision  |
      | configuration | a host that lacks a revision after 7 s      |
