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
      | has a number of 5,000 digits |
      | has 400 digits as its slots  |
      | has 400 digits as its start  |
      | has 1e999 as its start       |
      | has 1,500 nested arrays      |
      | has 60 nested arrays         |
      | has a lone surrogate         |
      | has a byte that is no text   |
      | has a NUL in its text        |

  # Guards against a value that is read and cannot be passed on to other hosts.
  Scenario Outline: A host that starts while the store is away gets the other servers: <fault>
    When another program writes an entry of a server that <fault>
    And the second server reports that it drains
    And another 0.5 s pass
    And the stand-in store answers 503
    Then a host that starts then is ready within 5 s, with two servers to use

    Examples:
      | fault                        |
      | has a number of 5,000 digits |
      | has 400 digits as its slots  |
      | has 400 digits as its start  |
      | has 1,500 nested arrays      |

  # Guards against a host that waits for a readable object under its own name for good.
  Scenario: A host replaces an object of its own name that cannot be decoded
    When another program writes an object of host host-2 that has a number of 5,000 digits
    Then a host that starts then is ready within 3 s, with three servers to use
    And within 3 s the object of host host-2 names its region

  Scenario: A blocked request that cannot be decoded hides no other one
    When another program writes a blocked request with 400 digits as the time of a loss
    And a blocked request is stored
    Then a host that starts then knows 1 blocked request within 3 s

  # Guards against any other value of this kind.
  Scenario: Whatever an object holds, the others of its page are read
    Then 1500 drawn values of stored objects hide no other object
    And 1500 drawn changes of their bytes raise nothing but decoding errors
    And 1500 drawn changes of messages of other hosts raise nothing but decoding errors

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
