@fleet.3
Feature: Traffic between regions stays within the links' caps

  Scenario: Requests of a drained region cross no faster than the link allows
    Given the fleet is settled
    And every link is capped at 20 Mbit/s and answers have 30000 bytes
    And the servers of centro are drained
    When 16 callers of the host in centro send without pause for 5 s
    Then more than 10 requests crossed to another region
    And no link carried more than its cap
    And no request that was refused as not run ran

  Scenario: Requests are refused as not run if a link is too slow for their responses
    Given the fleet is settled
    And every link is capped at 1 Mbit/s and answers have 30000 bytes
    When 4 callers of the host in centro send without pause for 1 s
    Then no request crossed, and all were refused as not run for a full link
