Feature: The client follows the platform's published object API, also when it fails

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

  Scenario: A watch resumes, waits, and fails when its history is compacted
    When 3 objects are written
    Then a watch from the start brings 3 events and one from the end none
    And a waiting watch returns as soon as an object is written
    And a watch older than the history raises HistoryGone

  Scenario: A command whose answer is lost detects that it took effect
    When the platform loses the answer
    Then applying a customer succeeds and writes it once

  Scenario: Every change leaves one audit record, without secrets
    When an operator issues a key, withdraws it and deletes it
    Then the audit trail has three changes with their author and their revisions
    And no object and no event on the platform contains the secret

  Scenario: A change written straight to the platform gets its audit record from a host
    Given a host that runs
    When somebody writes a customer directly to the platform
    Then within 10 s the audit trail contains it

  Scenario: Expired claims are deleted, the others stay
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
    Then the view keeper received the list and no other message

  Scenario: Metrics have a bounded number of customers and hold no secret
    When 300 customers' requests are observed
    Then at most 201 customer labels exist, and no sample holds a secret

  Scenario: A list or watch that is behind the view confirms nothing
    Given a view keeper whose view came from a peer at revision 9
    When a list and a watch of revision 8 arrive
    Then the view is still at revision 9 and nothing is confirmed
    When a watch of revision 9 arrives
    Then the view is confirmed
