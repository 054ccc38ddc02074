Feature: Objects that cannot be decoded do not keep a host from reading the others

  Background:
    Given a stand-in store with a configuration and 3 servers
    And an entry host that is ready
    And the logged events are recorded

  # Guards against one entry of another program that stops a whole list or watch, so that
  # no leaving server is noticed and no host that starts gets ready.
  Scenario Outline: An entry of a server <fault> and the others hold
    When another program writes an entry of a server that <fault>
    And the second server reports that it drains
    Then the host knows within 2 s that the second server drains
    And a host that starts then is ready within 3 s, with two servers to use
    And the host answers requests

    Examples:
      | fault                        |
      | is text of bytes             |
      | has a port that is too large |
      | has no content               |
      | lasts for infinite seconds   |

  Scenario: An object that cannot be decoded is logged once and counted
    When another program writes an entry of a server that is text of bytes
    And another program writes an entry of a server that is text of bytes
    Then the event object-unreadable was logged once for servers and i-other

  # Guards against a registered server that stays in use though its entry says nothing.
  Scenario: A server whose entry turns unreadable gets no more requests
    When another program replaces the second server's entry by text of bytes
    Then within 2 s the second server is not used any more

  Scenario: A configuration that turns unreadable leaves the last version in force
    When another program replaces the configuration by text of bytes
    And another 0.5 s pass
    Then a caller with key k-1 gets 200 for /read/1
    When the operator writes version 3 without key k-1 and with route /new/
    Then a caller with key k-1 gets 401 within 1 s
