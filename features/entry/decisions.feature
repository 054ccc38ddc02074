Feature: Decisions are pure, and hold over all hosts together

  Scenario Outline: Customers get their rate, and never much more, over <hosts> hosts
    Given a customer with a rate and burst of <rate> that sends <requested> requests a second
    When its requests reach <hosts> hosts at random for 40 s
    Then at most <refused> percent of the requests are refused
    And no 5 s hold more than the limit allows

    Examples: inside the rate
      | hosts | rate | requested | refused |
      | 11    | 8    | 5         | 3       |
      | 11    | 12   | 8         | 3       |
      | 12    | 60   | 37        | 1       |
      | 12    | 180  | 100       | 1       |

    Examples: beyond the rate
      | hosts | rate | requested | refused |
      | 11    | 8    | 60        | 100     |
      | 12    | 20   | 100       | 100     |
      | 12    | 43   | 150       | 100     |

  Scenario: A customer that moves to two hosts keeps its rate
    Given a customer with a rate and burst of 60 that sends 37 requests a second
    When its requests reach 2 of 12 hosts for 40 s
    Then at most 2 percent of the requests are refused
    And no 5 s hold more than the limit allows

  Scenario: An isolated host admits no more than an equal share
    Given a customer with a rate and burst of 60 that sends 150 requests a second
    When one of 12 hosts is isolated and all hosts get requests
    Then no 5 s hold more than the limit allows

  Scenario: Shares of a limit add up to at most the whole for any demand
    Then for random demands and silent hosts the shares add up to at most 1

  Scenario: Retries stay within the budget over all hosts
    Then 12 hosts with 1000 requests in 10 s retry at most 264 of them

  Scenario: Warm-up tokens are assigned once, for any number of hosts
    Then for 1 to 100 hosts the warm-up tokens of a server add up to its whole rate
    And a host with 1 token sends 1 request in each second

  Scenario: Services get requests by their weights
    Then 1000 requests over weights 90 and 10 give 900 and 100, within 1

  Scenario: Objects stay with their servers when another server joins or leaves
    Given 34 servers in three regions of unequal size
    Then fewer than 12 percent of the first servers change when one joins
    And only objects of a server that leaves change their first server

  Scenario: Each region serves at home what its servers can hold
    Given 34 servers in three regions of unequal size
    Then a region with a third of the slots or more serves all objects at home
    And a region with 16 of 136 slots serves 25 to 45 percent of them at home

  Scenario: A full fleet refuses instead of spreading work over cold servers
    Given 34 servers in three regions of unequal size
    Then an object's request goes to one of its first 2 servers or to none
    And a request goes to the first server while that one has room
    And a more urgent request finds room where a less urgent one does not

  Scenario: A request refused because servers are full may be retried after the mean response time
    Given a service that has answered nothing yet
    Then callers are asked to retry after 0.5 s
    When 100 answers took 0.2 s each
    Then callers are asked to retry after 0.2 s
    When 100 answers took 1.5 s each
    Then callers are asked to retry after 1.5 s
    When 100 answers took 60 s each
    Then callers are asked to retry after 3 s

  Scenario: A server that fails gets no requests for a while, and longer each time
    Then one refused connection pauses a server for 0.5 s and the next for 1 s
    And one failed answer does not pause a server and two in a row do
    And a server that answers half of its requests with failures is paused

  Scenario: Another host's work at a server counts until its report is old
    Then a report of 3 requests beside 1 own counts as 4 and expires within 1 s

  Scenario: Callers get hosts of their own region, else of the home regions, else all
    Then a caller of north gets the hosts of north
    And a caller of a region without hosts gets the hosts of the home regions
    And a caller of a region without hosts gets all hosts when there is no home

  # Guards against a topic that counts as complete because another one is.
  Scenario: Watches are renewed after an outage, and each topic is checked by itself
    Then a probe that answers after one that failed renews the watches once
    And a probe that answers after one that was late renews no watch
    And a topic is behind until its watch or a check of it reaches the probe's revision
    And a store that stays ahead leaves a topic behind at each probe

  Scenario: A set of servers that replaces a deleted one is ranked anew
    Then a set of servers that replaces a deleted set is ranked anew
