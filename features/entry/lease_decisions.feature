Feature: The lease manager of a server decides who may send it a request, and who waits

  One host for each server counts what occupies its slots. Requests that find no room wait
  in the order of their priority, then fairly by customer, then by their latest start.

  # Guards against many hosts that see the same free server at the same time.
  Scenario: Of 100 hosts that see one free server, as many send as it has slots
    Given 100 hosts and a server with 6 slots
    When each host asks at once for a request that may wait 0 s
    Then exactly 6 are served
    And the server never has more than 6 requests
    And every request is decided, and each refusal names a time up to 1 s
    And refusals that no request overtook arrive within 0.01 s

  Scenario: Of 100 hosts that may wait, as many are served as get room in time
    Given 100 hosts and a server with 6 slots
    When each host asks at once for a request that may wait 0.4 s
    Then at least 22 are served
    And the server never has more than 6 requests
    And every request is decided, and each refusal names a time up to 2 s
    And refusals that no request overtook arrive within 0.01 s

  # Guards against leases that leave slots idle: the time of three messages between two
  # requests is a part of each slot's time.
  Scenario: Twice the load that a server can take keeps it busy, and its own queue empty
    Given 100 hosts and a server with 6 slots
    When customers load it to 200 percent for 20 s
    Then the server never has more than 6 requests
    And the server is busy for at least 82 percent of 20 s
    And every request is decided, and each refusal names a time up to 2 s
    And refusals that no request overtook arrive within 0.01 s
    And no request is decided later than 0.05 s after its latest start

  # Guards against the urgent requests being served least when there is too little room.
  Scenario: Two priorities over too little room
    Given 40 hosts and a server with 6 slots
    When priority 0 needs 50 percent of it and priority 2 100 percent for 20 s
    Then at least 99 percent of priority 0 are served
    And at least 30 percent of priority 2 are served
    And the server never has more than 6 requests

  # Guards against a flood of one customer that takes the room of the others. Bursts of the
  # others at the same time leave some of their own requests without room in time; the
  # worst-served customers have to be within 0.1 of the mean.
  Scenario: One customer at ten times its rate waits behind its own requests
    Given 40 hosts and a server with 6 slots
    When 10 customers need 60 percent of it together for 30 s, and one of them sends 10 times its part
    Then the worst of the other customers is served to at least 90 percent
    And the one that floods gets at least 100 percent of what the others get

  Scenario: Requests are ordered fairly over customers
    Then within a priority the first requests of all customers come before the second

  # Guards against starvation by requests that all have to start earlier.
  Scenario: A patient request is served although newer ones have to start earlier
    Given 40 hosts and a server with 4 slots
    When one request may wait 2 s among new ones that may wait 0.3 s
    Then that request is served

  # Guards against a new manager that grants all slots while the leases of the last run.
  # It does not know of requests that are on their way, so that some wait at the server.
  Scenario: A manager that is replaced again and again costs little room
    Given 40 hosts and a server with 6 slots
    When customers load it to 200 percent for 20 s while its manager is replaced every 1 s
    Then the server never has more than 10 requests
    And the server is busy for at least 82 percent of 20 s

  # Guards against slots that stay taken by hosts that are gone.
  Scenario: The leases of hosts that die expire
    Given 40 hosts and a server with 6 slots
    When hosts that hold all its leases die and 6 others ask 1.1 s later
    Then at least 12 are served
    And the server never has more than 6 requests

  Scenario: The load that reports show beyond the leases is counted once, while it is new
    Then load that a report shows beyond the leases takes slots for 1 s at most
    And a report that is old, of another start or from the future changes nothing
    And the end of a lease brings the load that the server's response reported
    And a report that counts a lease that has ended since does not take its slot

  Scenario: Repeated, replayed and old messages change nothing
    Then a request is repeated with the same decision, and leases are counted once
    And a request that is replayed after its end, or overtaken by it, is dropped
    And a new start of a host ends its leases, and messages of the old one are dropped

  Scenario: Servers that end and queues that grow without bound
    Then a server that starts again or ends refuses at once what waited for it
    And at most the bounded number of requests wait, the most urgent ones

  Scenario: Any schedule
    Then for any schedule the leases fit the slots and each request is decided once
