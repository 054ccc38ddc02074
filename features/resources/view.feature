Feature: The view holds the desired state and its revision never decreases

  Scenario Outline: Events in any order lead to the same view, seed <seed>
    Given 200 random changes of 10 customers, seed <seed>
    When they arrive shuffled in small groups, some of them twice
    Then the view equals the store's last state
    And its revision never decreased

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A list that is older than the view changes nothing
    Given a view at revision 10 with customer ana
    When a list of revision 8 without ana arrives
    Then ana is still in the view

  Scenario: An object written past apply leaves its last valid version in force
    Given a view at revision 10 with customer ana
    When ana is written with a rate of -5 at revision 11
    Then ana's rate is still 10, and the view reports the problem
    When ana is written with a rate of 20 at revision 12
    Then ana's rate is 20, and the view reports no problem

  Scenario: A deletion that arrives before an older write wins
    Given a view at revision 10 with customer ana
    When ana's deletion at revision 12 arrives, then her write of revision 11
    Then ana is not in the view

  Scenario Outline: A spec that does not validate is refused: <kind> <field>
    When <kind> is checked with <field> set to <value>
    Then it is refused, and the message names <field> and a remedy

    Examples:
      | kind          | field     | value        |
      | Customer      | rate      | 0            |
      | Customer      | burst     | 0.5          |
      | Customer      | colour    | 1            |
      | Link          | cap_mbit  | -1           |
      | Link          | reserved  | 1            |
      | BackendServer | slots     | 0            |
      | BackendServer | address   | "nowhere"    |
      | Route         | prefix    | "baskets"    |
      | Route         | timeout_ms | 70000       |
      | Key           | digest    | "abc"        |

  Scenario: Random objects are refused or accepted, and nothing else happens
    Then 300 random specs of every kind either validate or are refused with a remedy
