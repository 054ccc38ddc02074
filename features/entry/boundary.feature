Feature: The platform's names stay at the border, and what lies there is checked

  Scenario: No module outside the adapter spells a name of the platform's wire
    Then no source file outside damasktally/platform contains a wire name

  Scenario: The adapter decides nothing
    Then damasktally/platform imports no module that decides or serves

  Scenario Outline: Times with units: <text>
    Then the time "<text>" is <seconds> s

    Examples:
      | text   | seconds |
      | 1500ms | 1.5     |
      | 2.5s   | 2.5     |

  Scenario Outline: A malformed configuration is refused whole: <fault>
    Then a configuration <fault> cannot be decoded

    Examples:
      | fault                          |
      | without routes                 |
      | whose version has no number    |
      | whose timeout has no unit      |
      | whose weight is a text         |

  Scenario: Bounds are read from the platform's table, and a missing one is named
    Then the bounds of the users' table are decoded
    And bounds without RetryRatio are refused with its name

  Scenario: The template gives settings that load
    Then the rendered template loads and names this host's ports

  Scenario: Settings that are wrong are refused with the option's name
    Then settings without a store address are refused with a remedy

  Scenario: Log lines are bounded and never block
    Then 5000 lines in one moment to a reader that does not read return at once
    And the lines left out are counted

  Scenario: Messages between hosts are small, and versions understand each other
    Then a heartbeat that names no customer takes at most 120 bytes
    And fields that a newer host adds at the end are passed over
    And fields with a default that an older host leaves out are filled in

  Scenario: The log tells when much of a service can no longer be used
    Given a service of 20 servers with 4 slots in two data centres
    When one server leaves
    Then nothing is told of its capacity
    When a data centre with 10 servers is evacuated
    Then 36 slots are told, with 0 cold and 10 evacuated servers
    When 5 servers are added that are cold for 3 s
    Then nothing is told of its capacity
    When 4 s have passed for the view
    Then 56 slots are told, with 0 cold and 10 evacuated servers

  Scenario: Heartbeats of an older run, or out of order, change nothing
    Then the table of hosts ignores older runs and older heartbeats
    And a host that stops is forgotten at once and a silent one is not named

  Scenario: A newer revision wins whoever brought it, and an older one never does
    Then a view at revision 9 ignores a list of revision 8 from a peer
    And a view at revision 9 takes revision 10 from a peer

  Scenario: Two hosts bring each other up to date while one cannot reach the store
    Given two hosts of which one cannot reach the store
    When the operator writes to the store that one host reaches
    Then the other host has the change within 2 s

  Scenario: The story of a request is told from the log of its host
    Given log lines of a host where the store was lost and a request was refused
    Then the story of that request names its reason, its attempts and the lost store
    And an id that is not in the log is reported as not found

  Scenario: Every reason that a request can end with has a meaning
    Then each reason has a word, a meaning and a place in the code

  Scenario: The log says what a configuration changes, and shows no key
    Then a version that withdraws 2 keys, drops a route and lowers a rate says so

  Scenario: A host that starts while the store is away takes its view from a peer
    Given two hosts of which one cannot reach the store
    When a third host starts while no store answers
    Then the third host knows the configuration within 2 s
