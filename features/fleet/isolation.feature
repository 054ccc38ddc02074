@fleet.6
Feature: A part of the fleet that is cut off keeps what it promised

  Scenario: A region that is cut off refuses keys, and goes on with open routes
    Given the fleet is settled
    When region sur is cut off from the platform and from the other hosts
    Then within 5 s the hosts of sur are isolated and those of the others connected
    And hosts of sur refuse a keyed request as not run, and answer an open one
    And look-ups at the other hosts name no host of sur
    When a key is withdrawn meanwhile
    Then no host ever runs a request with it 3 s later
    When the cut has lasted until the hosts of sur were removed
    And region sur is joined again
    Then within 20 s every host serves requests with keys

  Scenario: A region without the platform learns changes from its peers
    Given the fleet is settled
    When region norte loses the platform but not its peers
    Then the hosts of norte stay connected for 5 s
    And a change reaches the hosts of norte within 6 s

  Scenario: With the platform down for everyone the last view stays in force
    Given the fleet is settled
    When the platform goes down for everyone
    Then within 8 s every host finds the platform silent
    And requests with keys are served at every host for 5 s
    When the platform is back
    Then within 8 s every host is connected

  Scenario: With the platform down and its region lost, others cannot know and refuse
    Given the fleet is settled
    When the platform goes down for everyone
    And region centro is cut off from the platform and from the other hosts
    Then within 8 s the hosts of norte refuse a keyed request as not run
    When region centro is joined again
    And the platform is back
    Then within 20 s every host serves requests with keys
