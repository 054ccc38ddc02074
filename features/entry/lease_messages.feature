Feature: Messages about leases, and a host that asks for them

  Scenario: Lease messages are small and compatible between versions
    Then a request takes at most 100 bytes, a reply 12 and an end 40
    And fields that a newer version appends to lease messages are ignored
    And every truncated lease message, and values out of range, cannot be decoded

  # Guards against leases that are granted twice or kept by a message that is not for this
  # manager, and against messages of an earlier process.
  Scenario: Messages that do not count are dropped and counted
    Given 3 hosts with leases and 1 servers with 4 slots
    When a host gets lease messages that it must not take into account
    Then it counts and drops them, and tells the sender only what is true

  # Guards against requests that are held up or lost together with a datagram.
  Scenario: Replies that are lost, late or missing
    Given a host that asks a manager
    Then for each script of replies the wait ends as it should
      | replies                             | result          | asked | ends | took       |
      | granted@1                           | granted         | 1     | 0    | 0 to 25    |
      | refused@1                           | refused         | 1     | 0    | 0 to 25    |
      | not_manager@1                       | not-manager     | 1     | 0    | 0 to 25    |
      | nothing                             | no-reply        | 2     | 1    | 58 to 110  |
      | ;granted@1                          | granted         | 2     | 0    | 29 to 70   |
      | granted@40;                         | granted         | 2     | 0    | 38 to 80   |
      | queued@1,granted@100                | granted         | 1     | 0    | 95 to 150  |
      | queued@1,refused@150                | waited-too-long | 1     | 1    | 145 to 200 |
      | queued@1;granted@1                  | granted         | 2     | 0    | 245 to 320 |
      | queued@1                            | no-reply        | 3     | 1    | 305 to 390 |
      | queued@1;queued@1                   | waited-too-long | 2     | 1    | 455 to 560 |
    And a manager that does not reply is asked again after 1 s, and not before
    And a reply of another host, or to another number, grants nothing
    And a caller that leaves, or a task that is cancelled, ends the wait at the manager

  Scenario: Which requests ask, and how long they may wait
    Given a host that asks a manager
    Then a server with 6 slots is contended in these cases
      | own | rejected | port | contended |
      | 0   | never    | yes  | no        |
      | 3   | never    | yes  | no        |
      | 4   | never    | yes  | yes       |
      | 4   | never    | no   | no        |
      | 0   | 1.9      | yes  | yes       |
      | 0   | 2.1      | yes  | no        |
      | 0   | 1.9      | no   | no        |
    And the longest wait follows from objective, deadline and run time
      | objective | deadline | now | run | wait |
      | 250       | 1000     | 10  | 100 | 140  |
      | 250       | 1000     | 200 | 100 | 0    |
      | 2000      | 1000     | 10  | 100 | 890  |
      | 0         | 1000     | 10  | 100 | 390  |
      | 0         | 1000     | 900 | 10  | 0    |

  # Guards against two managers of one server for hosts that know the fleet differently.
  Scenario: The manager is the same for hosts that know the fleet in different ways
    Then relays, other hosts and other regions find the same managers among the first 8
