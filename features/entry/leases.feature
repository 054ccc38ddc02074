Feature: Hosts ask a server's lease manager before they send under contention

  Scenario: All hosts agree on the manager of each server
    Given 12 hosts with leases and 6 servers with 4 slots
    Then all hosts take the same host of a server's data centre for its manager

  # Guards against messages and waits in a fleet that has enough room.
  Scenario: A quiet fleet asks for no leases
    Given 4 hosts with leases and 2 servers with 12 slots
    When callers load the servers to 15 percent for 3 s
    Then no host asked for a lease
    And no answer was wrong, and no refused request was run

  # Guards against servers that turn away what many hosts send to them at the same time,
  # while the most urgent requests are served least.
  Scenario: Twice the load that the servers can take
    Given 12 hosts with leases and 4 servers with 4 slots
    When callers load the servers to 200 percent for 8 s
    And the same load meets 12 hosts without leases, which do not know each other's loads, for 8 s
    Then the servers turned away at most a fifth with leases, of at least 60 without
    And with leases priority 0 was served no less often than priority 2
    And with leases at least 85 percent of priority 0 were served
    And no answer was wrong, and no refused request was run

  # Guards against hosts of the version before, which send without leases, taking the room
  # of all others, and against wrong answers while both run side by side.
  Scenario: Half of the hosts use no leases
    Given 8 hosts, every other one with leases, and 4 servers with 4 slots
    When callers load the servers to 160 percent for 5 s
    Then hosts asked for leases
    And no answer was wrong, and no refused request was run

  # Guards against a manager whose end stops or repeats requests of other hosts.
  Scenario: A manager is killed under load
    Given 12 hosts with leases and 4 servers with 4 slots
    When callers load the servers to 160 percent for 8 s, and the host that manages most of them is killed after 3 s
    Then requests of the other hosts were answered, and other managers granted leases
    And no answer was wrong, and no refused request was run

  # Guards against slots that are kept for callers who have gone.
  Scenario: A caller that leaves while its request waits leaves the queue
    Given 3 hosts with leases and 1 servers with 2 slots
    When one host's requests fill the only server, and 2 more wait
    And the callers that wait leave
    Then nothing waits any more within 0.2 s, and none of them is run

  # Guards against requests that are sent to a server that began to drain while they waited.
  Scenario: A server that drains refuses at once what waits for it
    Given 3 hosts with leases and 1 servers with 2 slots
    When one host's requests fill the only server, and 2 more wait
    And the server says in the store that it drains
    Then nothing waits any more within 0.4 s, and none of them is run

  # Guards against requests that are sent although what hosts check changed while they
  # waited; the manager does not check evacuations.
  Scenario: An evacuation that begins during a wait holds after the grant
    Given 3 hosts with leases and 1 servers with 2 slots
    When one host's requests fill the only server, and 2 more wait
    And its data centre is evacuated
    Then nothing waits any more within 4 s, and none of them is run

  # Guards against a wait that the caller's host cannot explain.
  Scenario: The wait of a request is in its explanation
    Given 3 hosts with leases and 1 servers with 2 slots
    When one host's requests fill the only server, and 2 more wait
    And the server says in the store that it drains
    Then the explanation of a request that waited says how long and behind how many

  # Guards against requests that are held up by a manager that does not reply.
  Scenario: Without replies, hosts send as they do without leases
    Given 4 hosts with leases and 2 servers with 4 slots
    When the managers lose all lease messages
    And callers load the servers to 200 percent for 4 s
    Then every refusal and answer came within 0.1 s of what it takes without leases
    And no answer was wrong, and no refused request was run
