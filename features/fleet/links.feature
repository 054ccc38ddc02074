@fleet.3
Feature: What crosses between regions stays within the links' caps

  Scenario: A drained region's work crosses no faster than the link allows
    Given the fleet is settled
    And every link is capped at 20 Mbit/s and answers have 30000 bytes
    And the servers of centro are drained
    When 16 callers of the host in centro send without pause for 5 s
    Then more than 10 requests crossed to another region
    And no link carried more than its cap
    And every refusal was true

  Scenario: A link that is too thin for an answer's buffer refuses truthfully
    Given the fleet is settled
    And every link is capped at 1 Mbit/s and answers have 30000 bytes
    When 4 callers of the host in centro send without pause for 1 s
    Then no request crossed, and all were refused as not run for a full link
