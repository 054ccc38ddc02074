Feature: A connection to the store that goes silent hides no change

  A connection may return nothing any more while new ones work. Whatever the host waits
  for on it has to reach the host in another way.

  Background:
    Given a stand-in store with a configuration and 3 servers
    And an entry host that is ready

  # Guards against a version that is not in force in time, as the connection on which the
  # host waits for it is silent, and other changes hide that.
  Scenario Outline: A change of <topic> is known while <silent> and entries of servers <servers>
    When <silent> for changes of the <topic>
    And the entries of servers <servers>
    And the operator or a server changes the <topic>
    Then the host knows the change of the <topic> within 2 s

    Examples:
      | topic         | silent                   | servers     |
      | configuration | one watch waits in vain  | stay        |
      | configuration | one watch waits in vain  | keep moving |
      | configuration | each watch waits in vain | stay        |
      | configuration | each watch waits in vain | keep moving |
      | evacuations   | one watch waits in vain  | keep moving |
      | evacuations   | each watch waits in vain | keep moving |
      | servers       | one watch waits in vain  | stay        |
      | servers       | each watch waits in vain | stay        |
