Feature: Escrow splits a limit so that the parts never exceed the whole

  Scenario Outline: Loans are conserved under <fault>
    Given <hosts> hosts share a rate of <rate> with a burst of <burst>
    When they take and lend at random with <fault>, seed <seed>
    Then no window holds more than rate and burst

    Examples:
      | hosts | rate | burst | fault               | seed |
      | 3     | 30   | 12    | no fault            | 1    |
      | 3     | 30   | 12    | lost answers        | 2    |
      | 4     | 10   | 3     | duplicated answers  | 3    |
      | 4     | 100  | 50    | reordered answers   | 4    |
      | 5     | 20   | 5     | paused hosts        | 5    |
      | 5     | 20   | 5     | restarted hosts     | 6    |
      | 5     | 20   | 5     | fenced hosts        | 7    |
      | 5     | 20   | 5     | changed limits      | 8    |
      | 6     | 40   | 20    | every fault at once | 9    |

  Scenario: The random run detects a lender that does not debit
    Given 3 hosts share a rate of 30 with a burst of 12
    When they take and lend at random with a lender that does not debit, seed 1
    Then some window holds more than rate and burst

  Scenario: A host uses the smallest share over the generations in use
    Given hosts a, b in generation 1 and hosts a, b, c in generation 2
    When a and c know generation 2, and b has acknowledged only generation 1
    Then a holds 1/3 and c holds 0
    When b has acknowledged generation 2
    Then a holds 1/3 and c holds 1/3

  Scenario: The share of a removed host stays free until it must have stopped
    Given hosts a, b, c in generation 1 and hosts a, b in generation 2
    When c was removed without its consent and a learned of it at 100 s
    Then at 104 s a holds 1/3
    And at 105 s a holds 1/2

  Scenario Outline: Shares over random changes of roster never exceed one
    When <changes> changes of roster spread at random, seed <seed>
    Then at no time do the shares in use add up to more than one

    Examples:
      | changes | seed |
      | 20      | 1    |
      | 20      | 2    |
      | 20      | 3    |

  Scenario: Every slot has exactly one owner
    Given a roster of 12 hosts in 3 regions with 2 data centres each
    Then the slots of 46 servers are each owned once, by hosts next to them
    And without the hosts of a data centre its slots belong to hosts of the region
    And without the hosts of a region its slots belong to other hosts

  Scenario: Lent slots are not filled by the lender until the loan ends
    Given a host that owns 4 slots of a server and lends 3 for 30 s
    Then it can fill 1 slot
    When 30 s have passed
    Then it can fill 4 slots

  Scenario: A borrowed slot takes no work that would outlast the loan
    Given a host that borrowed 2 slots for 30 s
    Then it can fill 2 slots for 30 s of work
    And it can fill 0 slots for 31 s of work

  Scenario: Callers wait for a loan request in flight, however long it takes
    Given a host without tokens that requested a loan from its only peer
    When no answer has arrived for 0.15 s
    Then another caller has to wait
    When the answer grants no tokens
    Then another caller is refused, because no peer has tokens
