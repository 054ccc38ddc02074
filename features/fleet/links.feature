@fleet.3
Feature: What crosses between regions stays within the links' caps

  Scenario: A drained region's work crosses no faster than the link allows
    Given the fleet is settled
    And every link is capped at 20 Mbit/s and answers have 20000 bytes
    And the servers of centro are drained
    When 16 callers of the host in centro send without pause for 5 s
    Then more than 50 requests crossed to another region
    And no link carried more than its cap
    And every refusal was true

  Scenario: The checker would notice a pacer that lets everything through
    Given the fleet is settled
    And every link is capped at 20 Mbit/s and answers have 20000 bytes
    And the servers of centro are drained
    And a pacer that does not pace
    When 16 callers of the host in centro send without pause for 5 s
    Then some link carried more than its cap
