Feature: A removed server gets no requests, unless its entry expired with the store

  A server may leave without a report: its entry is removed, and it goes on serving for a
  short time only. While nobody reaches the store, the entries of healthy servers expire
  as well, and these servers register again within about two seconds of its return.

  # Guards against removals that count as expired entries because several come together.
  Scenario Outline: Servers that are removed while the store answers are given up: <how>
    Given a stand-in store with a configuration and 15 servers
    And an entry host that is ready
    When the entries of <count> servers are removed <how>
    Then within 0.7 s the host uses none of them

    Examples:
      | count | how                                                  |
      | 3     | at once                                              |
      | 8     | at once                                              |
      | 15    | at once                                              |
      | 6     | one after the other                                  |
      | 3     | as the history of the store is gone                  |
      | 3     | 3.5 s after the store returned from an outage of 5 s |

  # Guards against a store that answers late and counts as unavailable: each removal then
  # waits for a new registration, and requests reach servers that have left.
  Scenario Outline: Servers that are removed while the store answers late are given up: <delay> s <when>
    Given a stand-in store with a configuration and 15 servers
    And an entry host that is ready
    When <calls> to the store take <delay> s <when>
    And the entries of <count> servers are removed at once
    Then within <limit> s the host uses none of them
    And no host logged an outage of the store

    Examples:
      | calls           | delay | when           | count | limit |
      | all calls       | 1.0   | since 4 s      | 3     | 1.7   |
      | all calls       | 1.0   | since 4 s      | 1     | 1.7   |
      | all calls       | 1.5   | since 4 s      | 8     | 2.2   |
      | all calls       | 1.8   | since 7 s      | 3     | 2.5   |
      | all calls       | 1.2   | 4 s, until now | 3     | 1.9   |
      | one in 3 calls  | 1.2   | since 4 s      | 3     | 1.9   |

  Scenario Outline: A host that starts while the store answers late gives up servers that are removed: <delay> s
    Given a stand-in store with a configuration and 15 servers
    When all calls to the store take <delay> s since 0 s
    And an entry host starts and is ready
    And the entries of 3 servers are removed at once
    Then within <limit> s the host uses none of them
    And no host logged an outage of the store

    Examples:
      | delay | limit |
      | 1.0   | 1.7   |
      | 1.5   | 2.2   |

  Scenario Outline: No host of <count> keeps servers that are removed while the store answers late
    Given <count> hosts in 2 data centres
    And 15 more servers that all hosts know
    When all calls to the store take 1.2 s since 4 s
    And the entries of 3 servers are removed at once
    Then within <limit> s no host uses them
    And no host logged an outage of the store

    Examples:
      | count | limit |
      | 2     | 1.9   |
      | 6     | 1.9   |
      | 30    | 3.5   |

  # Guards against a host that takes its own suspension for an outage of the store.
  Scenario Outline: Servers that are removed after a host stood still are given up: <pauses>
    Given a stand-in store with a configuration and 15 servers
    And an entry host that is ready
    When the host stands still for <pauses>
    And the entries of 3 servers are removed at once
    Then within 0.9 s the host uses none of them
    And no host logged an outage of the store

    Examples:
      | pauses                  |
      | 2.5 s once              |
      | 0.8 s, 4 times in a row |

  # Guards against a host that gives up all servers as the store returns without their
  # entries, and refuses every request until they register again.
  Scenario Outline: Servers whose entries expired with the store are used meanwhile: <fault>
    Given a stand-in store with a configuration and 5 servers
    And an entry host that is ready
    When the store <fault> for 4 s, and the entries of <count> servers expire meanwhile
    And these servers register again 1.9 s after the return of the store
    Then all requests since the return were answered
    And the host uses all servers 1 s later

    Examples:
      | count | fault           |
      | 5     | answers 503     |
      | 5     | answers nothing |
      | 1     | answers 503     |

  Scenario: Servers that do not register again after an outage are given up
    Given a stand-in store with a configuration and 5 servers
    And an entry host that is ready
    When the store answers 503 for 4 s, and the entries of 3 servers expire meanwhile
    Then after 3.5 s the host uses none of them
    And all requests since the return were answered

  # Guards against an entry without a server that counts as one that expired.
  Scenario: An entry that becomes unreadable right after an outage names no server to use
    Given a stand-in store with a configuration and 5 servers
    And an entry host that is ready
    When the store answers 503 for 4 s, and the entries of 1 servers expire meanwhile
    And the entries of 3 servers become unreadable
    Then within 0.7 s the host uses none of them

  # Guards against a host that takes the loss of its own path to the store for an outage.
  Scenario Outline: A host that the store turns away gives up servers that others know to be gone: <conduct>
    Given 6 hosts in 3 data centres, each of which reaches the store in its own way
    And 15 more servers that all hosts know
    When the store <conduct> one host for 4 s
    And the entries of 3 servers are removed at once
    Then within 0.7 s no host uses them
    When the store serves that host again
    And the entries of 3 servers are removed at once
    Then within 0.7 s no host uses them

    Examples:
      | conduct |
      | ignores |
      | resets  |

  # Guards against hosts that know of the outage only from others, or not at all.
  Scenario Outline: All of <count> hosts use servers whose entries expired while the store <fault>
    Given <count> hosts in 2 data centres
    And 15 more servers that all hosts know
    When the store <fault> for 3 s to all hosts
    And a host starts that knows one seed
    And 2 s later the store returns without the entries of 8 servers
    And these servers register again 1.9 s later
    Then no host gave one of them up meanwhile, the last host included
    When another 3 s pass for the hosts
    And the entries of 3 servers are removed at once
    Then within 1.5 s no host uses them

    Examples:
      | count | fault           |
      | 6     | answers 503     |
      | 6     | answers nothing |
      | 30    | answers 503     |
      | 30    | answers nothing |

  # Guards against requests that reach a server later than its drain allows, as they
  # waited for a connection while the host learned of it.
  Scenario Outline: A request that waits for a connection goes to no server that <leaves> meanwhile
    Given a stand-in store with a configuration and 3 servers
    And an entry host that is ready
    And a server in another data centre
    And new connections to servers take 0.3 s
    When the preferred server <leaves> while a caller's request waits for a connection to it
    Then the caller gets 200
    And the preferred server received no request of it

    Examples:
      | leaves            |
      | is removed        |
      | reports to drain  |
      | starts again      |
      | is evacuated      |

  # Guards against an outage that is derived from what one host cannot see.
  Scenario Outline: A removal after <history> counts as <expected>
    Then a registration that is removed after <history> counts as <expected>

    Examples:
      | history                                                             | expected |
      | 5 s in which all hosts lost the store                               | expired  |
      | 5 s in which all hosts lost the store, 2.3 s ago                    | expired  |
      | 5 s in which all hosts lost the store, 2.5 s ago                    | removed  |
      | 5 s in which all hosts lost the store, but for the last 0.5 s       | expired  |
      | 1 s in which all hosts lost the store                               | removed  |
      | 5 s in which this host lost the store and others reached it         | removed  |
      | 5 s in which this host lost the store and heard of no other host    | removed  |
      | 5 s in which this host lost the store, 9 s after the last other one | expired  |
      | 5 s in which a host without others lost the store                   | expired  |
      | 5 s in which this host stood still                                  | removed  |
      | 5 s of which nobody says anything                                   | removed  |
      | 5 s before any host reached the store                               | removed  |

  # Guards against a call without a response yet that counts as one that got none.
  Scenario Outline: Calls to the store that <calls> show that it is <expected>
    Then calls to the store that <calls> show that it is <expected>

    Examples:
      | calls                                             | expected    |
      | get responses after 4 ms                       | available   |
      | get responses after 1.9 s                      | available   |
      | get responses after 3 s since long             | available   |
      | get responses after 3 s, every other one       | available   |
      | get a response 3 s late, after a suspension    | available   |
      | get no response to one of them                 | available   |
      | are cancelled                                  | available   |
      | get no response for 2.6 s                      | unavailable |
      | get no response for 2.6 s, and then one        | available   |
      | get no response for 2.6 s, 5.3 s ago           | available   |
      | are refused                                    | unavailable |
      | are refused, and then get a response           | available   |
      | are refused, 5.1 s ago                         | available   |
