Feature: Every checker fails on a broken history and passes on a sound one

  Scenario: A sound history breaks no promise
    Given a sound history
    Then no checker finds anything

  Scenario Outline: <promise> is found broken: <flaw>
    Given a sound history
    When <flaw> is added
    Then the checker <promise> finds it, and no other does

    Examples:
      | promise       | flaw                                        |
      | links         | a burst of bytes over a link                |
      | slots         | one more request than a server's slots      |
      | keys          | a request that ran for another customer     |
      | keys          | a key that reached a server                 |
      | keys          | a request with a key withdrawn 4 s before   |
      | rates         | more requests than rate and burst           |
      | answers       | an answer that is not whole                 |
      | not-run       | a refusal as not run of a request that ran  |
      | once          | a payment that ran twice                    |
      | once          | an idempotency key that ran twice           |
      | drains        | work for a server drained 4 s before        |
      | stops         | a cut request of a host that stopped        |
      | configuration | a host that went back to an older revision  |
      | configuration | a host that lacks a revision after 7 s      |
