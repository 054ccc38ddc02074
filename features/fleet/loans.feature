@fleet.3
Feature: Hosts lend each other what their callers need

  Scenario: A customer gets its whole burst at any one host
    Given the fleet is settled
    And a customer with a rate of 100 and a burst of 4, with a key
    And its rate is then lowered to 0.01, and a loan may take 5 s
    When it sends 4 requests to host 2 at once
    Then all 4 are served
    And a fifth is refused as over its rate

  Scenario: A customer whose callers all use one host gets its whole rate there
    Given the fleet is settled
    And a customer with a rate of 30 and a burst of 30, with a key
    When its callers send 20 a second to host 1 for 5 s
    Then at least 80 of the last 100 are served

  Scenario: No customer gets more than its rate and burst by asking every host
    Given the fleet is settled
    And a customer with a rate of 20 and a burst of 10, with a key
    When its callers send 40 a second to every host for 4 s
    Then at most 10 and 20 a second are served
    And at least 75 % of that is served

  Scenario: A peer without the fleet's credential is refused
    When a heartbeat with a wrong credential is sent to a host
    Then it gets no answer
    And a heartbeat with the right one gets an answer

  Scenario: Random heartbeats neither break a host nor lend more than it holds
    Given the fleet is settled
    When 300 random heartbeats reach a host
    Then what it holds and lends is still at most its share
    And its answers parse
