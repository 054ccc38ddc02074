Feature: In a large fleet, a few relays represent each data centre

  Scenario: The most capable hosts that are alive are relays, and all choose the same
    Then the 2 most capable of 15 hosts are relays in whatever order they are listed
    And a relay that is down is replaced by the next host

  Scenario: A host relies on a relay only while it is alive and reaches the store
    Then a host relies on relays by these cases
      | silent | store age | lost the store | relies |
      | 0.2    | 1.0       | no             | yes    |
      | 1.1    | 2.5       | no             | yes    |
      | 1.3    | 0.1       | no             | no     |
      | 0.1    | 2.7       | no             | no     |
      | 0.1    | 1.5       | yes            | yes    |
      | 0.1    | 1.7       | yes            | no     |

  Scenario: Calls to the store do not grow with the number of data centres
    Then these relays follow the store
      | data centres in each region | followers                                     |
      | 1, 0, 0                     | a-1.p, a-1.s                                  |
      | 1, 1, 0                     | a-1.p, b-1.p, a-1.s, b-1.s                    |
      | 3, 3, 3                     | a-1.p, b-1.p, c-1.p, a-2.p                    |
      | 0, 3, 3                     | b-1.p, c-1.p, b-2.p, c-2.p                    |
      | 9, 9, 9                     | a-1.p, b-1.p, c-1.p, a-2.p                    |

  # Guards against a fleet that waits until all followers of the store look old.
  Scenario: Relays that do not reach the store are replaced at once
    Then relays that do not reach the store are replaced by two each while there are some
    And a host that calls the store no more counts as cut off for a while

  Scenario: A relay that does not follow the store reports the age of what it gets
    Given a relay whose data centre is not among those that follow the store
    When a relay elsewhere reports that it reached the store 0.4 s ago
    Then after 1 s the state of the relay is 1.4 s old, and it relies on the other
    And its hosts rely on it for as long
    When that relay names a revision that this one lacks, and goes on reaching the store
    Then the state of the relay is as old as what it has, until it has that revision
    When two relays hear only from each other
    Then their ages of the store's state grow with time

  Scenario: Totals continue when counters restart, end, or come from another relay
    Then totals are kept when a counter restarts
    And totals switch to a standby relay without counting requests twice

  # Guards against counts that a relay misses as it adds only what a heartbeat changed.
  Scenario: A relay's totals are complete although heartbeats are lost, late or repeated
    Then totals from the changes in heartbeats are those from all counts

  Scenario: A host subtracts its own counts from sums that include them
    Then sums less the own counts are the others' counts, for any included heartbeat
    And sums with a heartbeat that is no longer recorded are not used

  Scenario: Heartbeats carry changed entries, and sometimes all entries
    Then an entry is sent 3 times after it changed, and as zero when it is removed
    And a message for one host alone does not count as one of those for all

  Scenario: Partial heartbeats are merged, and unresponsive hosts are detected
    Then a heartbeat with only the changed entries keeps the others
    And a host that does not reply in time is unresponsive
    And it stays so when no messages go to it any more, until it sends one
    And it may be tried again after 10 s, and a responsive one at any time

  Scenario Outline: Small shares admit whole requests, and no window exceeds the limit
    Given a large fleet of <hosts> hosts and a customer with a rate of <rate>
    When it requests <asked> of its rate, and <surge> times that after a while
    Then at most <refused> percent of the requests before the surge are refused
    And no 5 s hold more than the limit allows

    Examples:
      | hosts | rate | asked | surge | refused |
      | 87    | 4    | 0.6   | 7.5   | 3       |
      | 87    | 8    | 0.6   | 7.5   | 3       |
      | 87    | 20   | 0.6   | 7.5   | 3       |
      | 87    | 54   | 0.6   | 7.5   | 3       |
      | 87    | 155  | 0.6   | 7.5   | 3       |
      | 300   | 54   | 0.6   | 7.5   | 3       |

  # Guards against summaries that are sent many times a second in a fleet whose customers
  # send steadily, and against surges that reach other hosts late.
  Scenario Outline: Only growth beyond the known demand is sent at once
    Given a relay that receives the counts of a customer with a limit of <rate> from <hosts> hosts
    When the customer sends steadily at its limit for 20 s
    Then no summary is urgent
    When it sends six times its rate
    Then a summary is urgent within <seconds> s

    Examples:
      | rate | hosts | seconds |
      | 4    | 1     | 0.45    |
      | 20   | 1     | 0.25    |
      | 20   | 14    | 0.25    |
      | 155  | 1     | 0.25    |
      | 155  | 14    | 0.25    |

  # Guards against an update for each message of a busy fleet, and against surges whose
  # counts wait for a later update.
  Scenario: Updates of the shares that come close together are combined
    Given a host that updated its shares just now
    When two summaries with steady counts arrive
    Then the shares are updated once, 50 ms after the update before
    When a summary with a surge arrives right after
    Then the shares are updated at once
    And a summary of a standby relay causes no update

  # Guards against skipped work that changes a decision: updates leave customers alone
  # whose counts did not change.
  Scenario: Updates that skip unchanged customers decide as those that compute all
    Then quotas decide as a plain computation for random schedules

  Scenario: A surge at few hosts stays within the limit
    Then a single host admits no more than the bucket and the agreed excess
    And no host of a large fleet admits more than 3 requests ahead of its share

  Scenario: A fleet of 30 hosts follows the store through its relays
    Given 30 hosts in 2 data centres
    Then within 6 s only the relays follow the store, and every host knows its region
    And all hosts derive the same fleet size
    When the operator writes a new configuration
    Then within 1 s all hosts have it, most of them from a relay
    When both relays of a data centre are killed
    Then within 5 s other hosts of that data centre follow the store instead
    And look-ups return none of the killed hosts within 3 s
    And within 8 s 2 hosts of each data centre follow the store
    When the operator writes a new configuration
    Then within 1 s all hosts have it, most of them from a relay

  # Guards against a version that is late at all hosts, as the few that follow the store are
  # those that the store turns away.
  Scenario Outline: The store <conduct> the hosts that follow it as a version is written
    Given 36 hosts in 3 data centres, each of which reaches the store in its own way
    Then within 8 s only 4 relays follow the store, and all hosts have the configuration
    When the store <conduct> the callers among the hosts that follow it
    And the operator writes a new configuration
    Then within 3 s all hosts have it
    And after 3 s more at most 12 hosts follow the store

    Examples:
      | conduct |
      | resets  |
      | refuses |
      | ignores |

  # Guards against hosts that all list the store when it returns, before their relays do.
  Scenario: The store returns for all hosts after an outage
    Given 36 hosts in 3 data centres, each of which reaches the store in its own way
    Then within 8 s only 4 relays follow the store, and all hosts have the configuration
    When the store refuses the callers among all hosts for 4 s
    Then in the 4 s after that at most 12 hosts follow the store at any time
    When the operator writes a new configuration
    Then within 1 s all hosts have it

  # Guards against the same if the relays that could take over are turned away, too.
  Scenario: The store resets all relays as a version is written
    Given 36 hosts in 3 data centres, each of which reaches the store in its own way
    Then within 8 s only 4 relays follow the store, and all hosts have the configuration
    When the store resets the callers among all relays
    And the operator writes a new configuration
    Then within 3 s all hosts have it

  # Guards against a version that is late where hosts rely on others that fell silent.
  Scenario Outline: <hosts> fall silent as a version is written
    Given 36 hosts in 3 data centres, each of which reaches the store in its own way
    Then within 8 s only 4 relays follow the store, and all hosts have the configuration
    When <hosts> fall silent
    And the operator writes a new configuration
    Then within 3 s all hosts have it

    Examples:
      | hosts                                |
      | both relays of the first data centre |
      | all hosts that follow the store      |
      | six hosts of a data centre, relays first |

  # Guards against hosts that take themselves for relays, and the fleet for small, when the
  # first summary of the next relay knows few hosts.
  Scenario: Hosts keep the fleet's size and its list of hosts when the relays change
    Given a host that knows 30 hosts in 2 data centres by the summary of a relay
    When both relays of its data centre are silent, and the next relay knows few hosts yet
    Then for 5 s the host counts at least 30 hosts and is no relay
    And it agrees with the other hosts on the next relays
    When the summaries of the next relay list 20 hosts from then on
    Then after 7 s the host counts 20 hosts

  # Guards against messages to a relay that stopped, which its own last list names.
  Scenario: A relay that stops is replaced at once, and its next process may be one again
    Given a host that knows 30 hosts in 2 data centres by the summary of a relay
    When its first relay says that it stops
    Then the host's relays are the second and the third of the data centre
    When the next process of that relay sends a heartbeat
    Then the host's relays are the first and the second of the data centre

  # Guards against shares that grow, and look-ups that find no host of other data centres,
  # until the next relay has heard of them.
  Scenario: The next relay passes on what the relay before it knew of other data centres
    Given a host that knew of 30 hosts in 2 data centres by its relay, and becomes the relay
    Then its first summary counts 30 hosts, lists those of both, and has the whole demand
    And a summary of the other data centre takes the place of what the relay before knew
    And 9 s after the last summary of the relay before nothing is left of it

  # Guards against a data centre all of whose hosts follow the store until its next
  # relays have shown that they reach it.
  Scenario: The hosts of a data centre leave it to the next relays to follow the store
    Given 30 hosts in 2 data centres
    Then within 6 s only the relays follow the store, and every host knows its region
    When both relays of a data centre are killed
    Then in the next 6 s at most 6 hosts follow the store at any time, and 4 at last
    And no host counted fewer than 28 hosts meanwhile

  Scenario: No host falls behind when both relays lose the store
    Given 30 hosts in 2 data centres
    Then within 6 s only the relays follow the store, and every host knows its region
    When both relays of a data centre lose the store
    And the operator writes a new configuration
    Then within 2 s all hosts have it, most of them from a relay

  Scenario: A host that starts without the store does not underestimate the fleet
    Given 30 hosts in 2 data centres
    Then within 6 s only the relays follow the store, and every host knows its region
    When a host starts that cannot reach the store and knows one seed
    Then within 3 s it knows the configuration and counts at least 30 hosts

  Scenario Outline: A host with only a remote seed gets the hosts of its data centre
    Given a host that received a summary of 30 hosts in 2 data centres
    When a new host of the other data centre sends it <count> heartbeats
    Then the reply to the last one lists the hosts of its data centre
    And the new host sends heartbeats to the relays of its own data centre

    Examples:
      | count |
      | 1     |
      | 2     |

  Scenario: Changes are transferred without the whole topic
    Then edits since a revision result in the same view as the whole topic
    And edits from before the first kept delta are not returned

  # Guards against a host that keeps a removed server, as the host that it asks has only
  # the difference of two lists, between which the server came and went.
  Scenario: The difference of two lists is not sent to a host in between
    Then a host that knows a server of between two lists gets the whole topic

  # Guards against transfers that outlast their timeout on slow links, change after change.
  Scenario: A large configuration is small on the links between hosts
    Then a configuration of 2100 routes takes at most 20 percent of its size, and is read again
    And a host that knows no compression gets it as before
    And a response that is cut, corrupt or far too long when decompressed is refused
    And a response is encoded once for all hosts of a revision
