Feature: Hosts pass on that a server leaves

  # Guards against hosts that send to a server until it or the store tells each of them.
  Scenario: All hosts of a fleet stop once one was told
    Given 30 hosts in 2 data centres
    And 3 more servers beside the first
    When the preferred server tells one host that it leaves
    Then within 1.5 s no host considers it usable
