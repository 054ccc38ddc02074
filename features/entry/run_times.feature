Feature: How long requests of a route run at least, and who finds out when that changes

  Scenario: The time of the fastest runs is found among slow ones
    Given 300 runs of which every fifth took 1.3 s and the others 0.35 to 0.45 s
    Then a run of the route takes 0.33 to 0.45 s

  Scenario: Nothing is refused for want of time before a service has responded
    Then a run of the route takes an unknown time
    And a request that has 0.05 s left is sent to a server that has not responded yet

  # Guards against a few unusual runs, or runs of long ago, that count as what is usual.
  Scenario Outline: Runs that are few or old show nothing: <count> runs, the last <age> s ago
    Given <count> runs that took 2 s each, the last of them <age> s ago
    Then a run of the route takes <time>

    Examples:
      | count | age | time            |
      | 1     | 0   | an unknown time |
      | 2     | 0   | an unknown time |
      | 3     | 0   | 2 to 2 s        |
      | 3     | 4.9 | 2 to 2 s        |
      | 20    | 5   | an unknown time |

  Scenario: Requests that come seldom are never refused for want of time
    Given 30 runs that were cut off after 1 s each, with 2.6 s between them
    Then a run of the route takes an unknown time

  Scenario: Routes of one service are told apart
    Given 20 runs that took 2.2 s each, the last of them 0 s ago
    And a run of another route that took 0.05 s
    Then a run of the route takes 2.2 to 2.2 s
    And a run of the other route takes an unknown time

  Scenario: A run that was cut off would have taken longer
    Given 3 runs that were cut off after 1 s each, with 0.1 s between them
    Then a run of the route takes 1.1 to 1.5 s

  # Guards against a run that was cut off early, or that had to wait, and counts as fast.
  Scenario: A run that was cut off early does not lower the time
    Given 20 runs that took 2.2 s each, the last of them 0 s ago
    And 3 runs that were cut off after 0.1 s each, with 0.1 s between them
    Then a run of the route takes 2.2 to 2.2 s

  Scenario: Of runs that were all cut off, the longest counts
    Given 5 runs that were cut off after 1 s each, with 0.1 s between them
    And 5 runs that were cut off after 0.2 s each, with 0.1 s between them
    Then a run of the route takes 1.1 to 1.5 s

  Scenario: One fast run is enough to serve again
    Given 20 runs that took 2.2 s each, the last of them 0 s ago
    And a run of the route that took 0.05 s
    Then a run of the route takes 0.05 to 0.05 s

  # Guards against counting a known delay twice: in the recorded time, and again in the
  # choice of the server.
  Scenario: What a slow server or its queue explains does not count as the route's time
    Given 5 runs that took 4.8 s each at servers that were 12 times as slow as usual
    Then a run of the route takes 0.39 to 0.41 s

  Scenario Outline: One request of a route is tried at a time: <remaining> s are left
    When a request with <remaining> s left is tried
    Then the next one may be tried after <interval> s

    Examples:
      | remaining | interval |
      | 0.2       | 1        |
      | 1.0       | 1        |
      | 2.5       | 2.5      |
      | 6.0       | 3        |

  Scenario: Each route is tried by itself
    When a request with 1 s left is tried
    Then a request of another route may be tried at once

  # Guards against requests with an unknown outcome where others could show the same, and
  # against requests that are never tried since others always are.
  Scenario: Requests that may run once are tried seldom while idempotent ones are
    When idempotent requests and others with 1 s left ask to be tried 10 times a second for 12 s
    Then 12 idempotent requests and 4 or 5 others are tried

  Scenario: Requests that may run once are tried where no others are
    When only requests that may run once, with 1 s left, ask to be tried 10 times a second for 12 s
    Then 12 of them are tried
