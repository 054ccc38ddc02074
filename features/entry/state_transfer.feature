Feature: A host that is behind gets newer state from whichever peer can send it

  # Guards against a version that is not in force in time at hosts that rely on peers, as
  # the one peer that they ask does not respond, or its response is thrown away half-way.
  Scenario Outline: A host gets the configuration although <trouble>
    Given a host that relies on peers and is at revision 10 of the configuration
    And peers that name these revisions: <peers>
    When it hears of them
    Then it has revision <revision> within <limit> s

    Examples:
      | trouble                                 | peers                               | revision | limit |
      | the peer that is first ahead is silent  | 12 silent, 11 responds              | 11       | 1.0   |
      | both peers that are ahead most are cut  | 12 silent, 12 silent, 11 responds   | 11       | 1.5   |
      | peers that named it have ended          | 12 ended, 12 ended, 11 responds     | 11       | 0.6   |
      | its link is slow                        | 12 slow                             | 12       | 3.0   |
      | one of its peers is slow                | 12 slow, 11 responds                | 11       | 1.0   |

  # Guards against a host that asks all its peers at once for what one is sending.
  Scenario: A host asks one peer while that one responds, and few at a time
    Given a host that relies on peers and is at revision 10 of the configuration
    And peers that name these revisions: 12 responds, 12 responds, 12 responds
    When it hears of them
    Then it has revision 12 within 0.4 s
    And it made 1 request in all
    Given peers that name these revisions: 13 silent, 13 silent, 13 silent, 13 silent, 13 silent
    When it hears of them
    Then in 3 s it asks at most 3 peers at a time

  # Guards against a busy loop of requests that are refused at once.
  Scenario: Peers that have ended are asked a few times a second
    Given a host that relies on peers and is at revision 10 of the configuration
    And peers that name these revisions: 12 ended, 12 ended
    When it hears of them
    Then in 2 s at most 24 requests fail

  # Guards against a host that knows of a version and waits for peers that do not send it.
  Scenario: A host that no peer sends what it named asks the store
    Given a stand-in store with a configuration and 3 servers
    And a host that relies on peers, and knows what the store has
    When the operator writes a version, and only the host's peers know of it
    Then the host has version 2 within 2 s
    And it made 1 call to the store for it, and follows the store no more than before
    When the store refuses all calls, and peers name a still newer revision
    Then in 3 s the host makes at most 6 calls to the store
    When the store answers again, without that revision
    Then in 3 s the host makes at most 6 calls to the store
