Feature: The store comes back from an older copy

  The store may come back from a copy that is some seconds old. What was written since is
  lost, and its revisions are given out again. Its era, in every answer, rises by one.

  Background:
    Given a stand-in store with a configuration and 3 servers
    And the stand-in store names its era
    And an entry host that is ready
    And the order in which three servers are preferred is known

  # Guards against a host that takes what the copy holds for newer than what it knows.
  Scenario: Nothing that the operator or the servers withdrew comes back
    Given the store is copied
    When the operator writes version 2 without key k-1 and with route /new/
    And the preferred server starts to drain
    And the entry of the second server is removed
    And the host knows all that was written
    And the store comes back from the copy
    Then for 2 s key k-1 gets 401, and only the third server gets requests
    When the operator and the servers write their entries again
    Then for 1 s key k-1 gets 401, and only the third server gets requests

  Scenario: Nothing comes back when the store refuses calls around its return
    Given the store is copied
    When the operator writes version 2 without key k-1 and with route /new/
    And the preferred server starts to drain
    And the entry of the second server is removed
    And the host knows all that was written
    And the store refuses all calls
    And the store comes back from the copy
    And the store refuses no calls after 1 s
    Then for 2 s key k-1 gets 401, and only the third server gets requests
    When the operator and the servers write their entries again
    Then for 1 s key k-1 gets 401, and only the third server gets requests

  Scenario: The store comes back while servers are replaced one after the other
    Given the store is copied
    When a fourth server registers
    And the preferred server starts to drain
    And the entry of the second server is removed
    And the host knows all that was written
    And the store comes back from the copy
    Then after 1 s the fourth server is usable
    When the entry of the preferred server is removed
    And the fourth server registers again
    Then after 1 s the fourth server is usable
    And the first two servers are not usable

  # Guards against a host that waits for a revision which the store gives out later.
  Scenario: What is written after the return is in force at once
    Given the store is copied
    When the operator writes version 2 without key k-1 and with route /new/
    And the operator writes 20 versions in 0.4 s
    And the host knows all that was written
    And the store comes back from the copy
    And the operator writes version 90 without key k-1 and with route /newest/
    Then within 2 s a caller with key k-2 gets 200 for /newest/1
    When the preferred server starts to drain
    And 5 callers ask one after the other
    Then the preferred server received 1 request

  # Guards against a watch that waits without end for a revision of the era before, while
  # the other topics know of the new era.
  Scenario: A version that gets the revision of the one before the return is in force at once
    Given the store is copied
    When the operator writes version 2 without key k-1 and with route /new/
    And the host knows all that was written
    And the store comes back from the copy, and responds late to calls of other kinds
    And the operator writes version 3 without key k-1 and with route /newest/
    Then within 3 s a caller with key k-2 gets 200 for /newest/1

  Scenario: A server of which the copy knows nothing is used until it should be back
    Given the store is copied
    When a fourth server registers
    And the store comes back from the copy
    Then after 1 s the fourth server is usable
    And after 3 s the fourth server is not usable
    When the fourth server registers again
    Then after 1 s the fourth server is usable

  Scenario: An evacuation that was lifted stays lifted, and one that is lost is written again
    When data centre dc-1 is evacuated
    And the store is copied
    And the evacuation of dc-1 ends
    And the store comes back from the copy
    Then for 1.5 s a caller gets 200
    When the evacuation of dc-1 ends
    Then for 3 s a caller gets 200

  Scenario: The store may come back several times in a row
    When the store is copied and comes back 4 times, with a version in between
    Then the last of them is in effect within 2 s

  Scenario Outline: An era that cannot be right changes nothing
    When the era of the store is <era>
    And the operator writes version 3 without key k-1 and with route /new/
    Then within 2 s a caller with key k-2 gets <status> for /new/1
    And the host has an error of the era in its log

    Examples:
      | era     | status |
      | missing | 200    |
      | soon    | 200    |
      | 1       | 404    |

  # Guards against lists without pause when a peer knows a later era than the store names.
  Scenario: A host that hears of a later era from a peer does not flood the store
    When a peer sends a configuration of the next era
    Then the host makes at most 40 calls to the store in 2 s
