Feature: Membership confirms, fences and removes hosts without counting a share twice

  Scenario Outline: Shares in use never exceed the whole under <fault>, seed <seed>
    Given <hosts> hosts that all start at once
    When they run for 150 s with <fault>, seed <seed>
    Then the shares in use never added up to more than one
    And at the end every running host is a confirmed member

    Examples:
      | hosts | fault                | seed |
      | 5     | no fault             | 1    |
      | 5     | lost messages        | 2    |
      | 5     | slow messages        | 3    |
      | 6     | pauses               | 4    |
      | 6     | kills and restarts   | 5    |
      | 6     | store outages        | 6    |
      | 6     | partitions           | 7    |
      | 7     | every fault at once  | 8    |
      | 7     | every fault at once  | 9    |
      | 7     | every fault at once  | 10   |

  Scenario: The simulation detects a fleet that takes shares over too early
    Given 6 hosts that all start at once
    When they run for 150 s with hold times that are too short, seed 1
    Then the shares in use added up to more than one at some time

  Scenario Outline: Isolation is <state> when <case>
    Given a host whose view must be confirmed within 3 s
    When <case>
    Then its state is <state>

    Examples:
      | state        | case                                                       |
      | isolated     | nothing was ever confirmed                                 |
      | connected    | the store answered a request sent 2.9 s ago                |
      | isolated     | the store answered a request sent 3.1 s ago                |
      | store-silent | a majority of the store's region found it silent 2 s ago   |
      | isolated     | a majority of the store's region found it silent 3.1 s ago |
      | isolated     | a minority of the store's region found it silent 1 s ago   |
      | connected    | the store answers again after it was silent                |

  Scenario: A majority is needed of the old roster and of the new one
    Given rosters a, b, c and then a, d, e, both in use
    When d and e confirmed a, but b and c did not
    Then a is not confirmed
    When b confirmed a too
    Then a is confirmed

  Scenario: A host that has just started agrees to no removal
    Given a host that started 4 s ago with a hold time of 5 s
    Then it does not agree to remove a host that it never confirmed
    And it does so after 5 s
