Feature: Objects leave servers that stay overloaded
  Rendezvous hashing gives some servers several of the objects that are requested most.
  Their queues never empty while other servers are idle, so part of their objects is
  diverted to the next servers of their rankings.

  Scenario: A queue that lasts while other servers are idle is worked off
    Given 100 servers with 6 slots and 300 objects of 3.5 requests a second, 0.4 s each
    Then the busiest server has over 1.5 times as many requests as slots
    When 20 s pass
    Then no server has over 1.2 times as many requests as slots
    And at most 15 % of the requests changed their server within any 2 s

  Scenario: A region with a tenth of the servers and a third of the callers is relieved
    Given 100 servers in regions of 10, 40 and 50 with 6 slots and 300 objects of 3.5 requests a second, 0.4 s each
    And the objects of a third of the callers prefer the smallest region
    When 30 s pass
    Then no server has over 1.2 times as many requests as slots

  Scenario: Hosts that receive the same loads divert the same objects
    Given 100 servers with 6 slots and 300 objects of 3.5 requests a second, 0.4 s each
    When 10 s pass
    Then a second host that received the same loads ranks every object alike

  Scenario: Nothing is diverted while all servers are overloaded alike
    Given 20 servers of which each has three times as many requests as slots
    When 10 s pass
    Then no object is diverted

  Scenario: Objects return when the demand has fallen
    Given 100 servers with 6 slots and 300 objects of 3.5 requests a second, 0.4 s each
    When 20 s pass
    And the requests fall to a tenth
    And 60 s pass
    Then no object is diverted

  Scenario: An object of which all servers are overloaded stays at the first one
    Given 20 servers of which 3 have five times as many requests as slots
    When 30 s pass
    Then an object that prefers these 3 is still ranked, each of them once

  Scenario: Requests that concern no object do not all go to one idle server
    Given 6 servers with 4 slots and 25 objects of 1 requests a second, 0.2 s each
    When 100 hosts that know no loads choose a server for a request without an object
    Then no server gets over 3 times the mean

  Scenario: A request that concerns no object goes to the less loaded server, near ones first
    Given 4 servers with 6 slots and 25 objects of 1 requests a second, 0.2 s each
    Then a request without an object prefers a near server, but not a busier one
