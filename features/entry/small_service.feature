Feature: A small service whose servers are all overfull recovers by itself
  Six servers in three regions could keep all 25 objects warm. While each of them gets
  requests for all objects, and for others, none is warm for long, and each run takes
  three times as long as it could. The overload must not outlast its cause.

  Scenario Outline: The queues are full and requests go on arriving
    Given 6 servers with 4 slots and a queue of 12 that stay warm for 26 objects
    And all queues are full of requests for objects that no server is warm for
    When <rate> requests a second for 25 objects, of which a tenth concern none, arrive for 20 s
    Then at least <percent> % of the requests of the last 5 s end within 0.6 s

    Examples: the usual rate and a burst, where warm servers could serve 110 a second
      | rate | percent |
      | 40   | 85      |
      | 58   | 80      |
