Feature: The platform adapter isolates wire names, and input from outside is checked

  Scenario: No module outside the platform adapter contains a wire name
    Then no source file outside damasktally/platform contains a wire name

  Scenario: The platform adapter contains no decisions
    Then damasktally/platform imports only modules that it may depend on

  Scenario Outline: Durations with units are parsed: <text>
    Then the duration "<text>" is <seconds> s

    Examples:
      | text   | seconds |
      | 1500ms | 1.5     |
      | 2.5s   | 2.5     |

  Scenario Outline: A malformed configuration is rejected as a whole: <fault>
    Then a configuration <fault> cannot be decoded

    Examples:
      | fault                          |
      | without routes                 |
      | whose version has no number    |
      | whose timeout has no unit      |
      | whose weight is a text         |

  Scenario: Bounds are decoded from the platform's table, and a missing one is named
    Then the bounds of the users' table are decoded
    And bounds without RetryRatio are rejected with its name

  Scenario: The rendered settings template loads
    Then the rendered template loads with the ports of this host

  Scenario: Invalid settings are rejected with the name of the option
    Then settings without a store address are rejected with a remedy

  Scenario: Logging is bounded and never blocks
    Then 5000 log lines to a pipe that is not read are written without blocking
    And the dropped lines are counted

  Scenario: Messages between hosts are small and compatible between versions
    Then a heartbeat that names no customer takes at most 120 bytes
    And fields that a newer host appends are ignored
    And fields that an older host omits get their default

  Scenario: Large changes of a service's usable capacity are logged
    Given a service of 20 servers with 4 slots in two data centres
    When one server leaves
    Then no change of its capacity is logged
    When a data centre with 10 servers is evacuated
    Then 36 slots are logged, with 0 servers warming up and 10 evacuated
    When 5 servers are added that warm up for 3 s
    Then no change of its capacity is logged
    When 4 s have passed for the view
    Then 56 slots are logged, with 0 servers warming up and 10 evacuated

  Scenario: Heartbeats of an older process, or out of order, are ignored
    Then the member table ignores heartbeats of an older process and older sequences
    And a stopped host is removed at once and a silent one is not live

  Scenario: A newer revision is applied from any source, and an older one is ignored
    Then a view at revision 9 ignores a list of revision 8 from a peer
    And a view at revision 9 applies revision 10 from a peer

  Scenario: A host that cannot reach the store receives changes from a peer
    Given two hosts of which one cannot reach the store
    When the operator writes to the store that one host reaches
    Then the other host applies the change within 2 s

  Scenario: A request is explained from the log of its host
    Given log lines of a host where the store was lost and a request was refused
    Then the explanation of that request has its reason, attempts and the lost store
    And an id that is not in the log is reported as not found

  Scenario: The explanation of a request says that this host did not reach the servers
    Given log lines of a host that reached no server and forwarded a request
    Then the explanation of that request names the other host and the lost service

  # Guards against late requests to a server of which the log does not show that this
  # host knew of the removal.
  Scenario: The explanation of a request says that a server's registration was removed
    Given log lines of a host that used a server after its registration was removed
    Then the explanation of that request names the server and the age of the removal

  Scenario: Every reason that a request can end with has a meaning
    Then each reason has a word and a meaning and is used in the code

  Scenario: The description of a configuration change shows no key
    Then a version that withdraws 2 keys, drops a route and lowers a rate is described

  # Guards against lines of changes that grow with the configuration until outputs cut them.
  Scenario: The description of a configuration change names only some of many routes
    Then a version that adds 1400 routes is described in at most 300 characters

  # Guards against refusals of which the log cannot tell how old the configuration was.
  Scenario: A refusal for want of a route or a key tells how recent the configuration was
    Given two hosts of which one cannot reach the store
    And the logged events are recorded
    When the operator writes to the store that one host reaches
    Then the other host applies the change within 2 s
    And the other host logged version 2, its source and how long it was behind
    When a caller asks the other host for a route that no version has
    Then the line of that request has the configuration's age and the newest revision

  Scenario: A host that starts while the store is unavailable gets its view from a peer
    Given two hosts of which one cannot reach the store
    When a third host starts while no store is available
    Then the third host has the configuration within 2 s
