Feature: The platform's object API is met as it is published, also when it fails

  Background:
    Given a platform stand-in and a client

  Scenario Outline: A <call> when the platform <fault> raises <error>
    When the platform <fault>
    Then the call "<call>" raises "<error>"

    Examples:
      | call  | fault                  | error            |
      | get   | is down                | StoreUnavailable |
      | list  | is down                | StoreUnavailable |
      | watch | is down                | StoreUnavailable |
      | put   | is down                | OutcomeUnknown   |
      | get   | is slower than allowed | StoreUnavailable |
      | put   | is slower than allowed | OutcomeUnknown   |
      | put   | loses the answer       | OutcomeUnknown   |
      | get   | does not listen        | StoreUnavailable |
      | put   | does not listen        | OutcomeUnknown   |

  Scenario: Updates are conditional
    When two operators write the same object from the same version
    Then one gets a conflict, and the other's write stands

  Scenario: A watch resumes, waits, and says when its history is gone
    When 3 objects are written
    Then a watch from the start brings 3 events and one from the end none
    And a watch that waits is woken by a write
    And a watch older than the history raises HistoryGone

  Scenario: A command whose answer is lost finds out that it took effect
    When the platform loses the answer
    Then applying a customer succeeds and writes it once

  Scenario: Every change leaves one audit record, without secrets
    When an operator issues a key, withdraws it and deletes it
    Then the audit trail names three changes, who made them and their revisions
    And the secret is nowhere on the platform

  Scenario: A change written straight to the platform gets its audit record from a host
    Given a host that runs
    When somebody writes a customer past apply
    Then within 10 s the audit trail names it

  Scenario: Claims whose time is over are deleted, the others stay
    Given one claim that has expired and one that has not
    And a host that runs
    Then within 10 s only the claim that has not expired is left

  Scenario: Calls beyond the budget are refused
    When a client with a budget of 2 calls a second makes 50 calls at once
    Then no more than 12 reach the platform

  Scenario: Random answers of the platform raise what a caller can handle
    Then 300 random answers raise StoreUnavailable or parse

  Scenario: An answer of a stale replica confirms nothing
    Given a store that lists revision 10 and answers watches with 5
    When a host follows that store for 1 s
    Then the view keeper got the list and nothing else

  Scenario: Metrics have a bounded number of customers and hold no secret
    When 300 customers' requests are observed
    Then at most 201 customer labels exist, and no sample holds a secret

  Scenario: A list or watch that is behind the view confirms nothing
    Given a view keeper whose view came from a peer at revision 9
    When a list and a watch of revision 8 arrive
    Then the view is still at revision 9 and nothing is confirmed
    When a watch of revision 9 arrives
    Then the view is confirmed
