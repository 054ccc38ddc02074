Feature: Connections to servers and the store

  Scenario: A connection attempt that is cancelled never goes on
    When a connection attempt is refused and cancelled at each of 8 moments
    Then each attempt that was cancelled before its end was cancelled
