@fleet.6
Feature: Hosts that are cut off from the platform or their peers stay within limits

  Scenario: A region that is cut off refuses keys, and still serves open routes
    Given the fleet is settled
    When region sur is cut off from the platform and from the other hosts
    Then within 5 s the hosts of sur are isolated and those of the others connected
    And hosts of sur refuse a keyed request as not run, and answer an open one
    And look-ups at the other hosts return no host of sur
    When a key is withdrawn meanwhile
    Then no host runs a request with it 3 s later
    When the partition has lasted until the hosts of sur were removed
    And region sur is reconnected
    Then within 20 s every host serves requests with keys

  Scenario: A region without the platform receives changes from its peers
    Given the fleet is settled
    When region norte is disconnected from the platform but not from its peers
    Then the hosts of norte stay connected for 5 s
    And a change reaches the hosts of norte within 6 s

  Scenario: With the platform down for everyone the last view stays in force
    Given the fleet is settled
    When the platform is down for all hosts
    Then within 8 s every host reports the platform as silent
    And requests with keys are served at every host for 5 s
    When the platform is back
    Then within 8 s every host is connected

  Scenario: With the platform down and its region cut off, the other hosts refuse keys
    Given the fleet is settled
    When the platform is down for all hosts
    And region centro is cut off from the platform and from the other hosts
    Then within 8 s the hosts of norte refuse a keyed request as not run
    When region centro is reconnected
    And the platform is back
    Then within 20 s every host serves requests with keys
