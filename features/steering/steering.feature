Feature: Steering prefers near servers with free slots and divides scarce slots fairly

  Scenario: Servers of this host's region come first, whatever their load
    Given servers with free slots here at 90 % load and in another region at 0 %
    Then a server of this region is selected 100 times out of 100

  Scenario: Equal servers get equal work
    Given 2 equal servers
    Then each is selected between 400 and 600 times out of 1000

  Scenario: A heavier weight on headroom moves work to the emptier server
    Given a near server that is busy and a farther one in the region that is idle
    Then with a latency weight of 50 the near one is selected
    And with a headroom weight of 50 the idle one is selected

  Scenario Outline: A reported load of <load> is worth <estimate> after <age> s
    Given a server that reported a load of <load>
    When <age> s have passed
    Then its load estimate is about <estimate>

    Examples:
      | load | age | estimate |
      | 0.0  | 0   | 0.0      |
      | 1.0  | 0   | 1.0      |
      | 0.0  | 60  | 0.5      |
      | 1.0  | 60  | 0.5      |

  Scenario: Ejection spares part of a pool and ends by itself
    Given a pool of 4 servers that all fail, of which half may be ejected
    Then 2 of them are ejected
    And after 60 s none is

  Scenario: A cold server fills up step by step
    Then of 10 slots a server that warms up for 10 s fills 1, 5 and 10 after 0, 5 and 10 s

  Scenario: Two customers that always wait get work by their weights
    Given customers ana with weight 1 and bea with weight 3 that always wait
    When 400 slots with equal service times become free
    Then bea got about 3 times as many as ana

  Scenario: A flood cannot fill the queue against another customer
    Given a pool of 1 busy slot whose queue holds 8
    When ana tries to queue 20 requests and then bea tries one
    Then ana has 4 waiting and bea's request waits too
    And when the slot is free bea's request is among the next 2

  Scenario: Look-ups name near hosts first and leave full ones to the end
    Given 12 entry hosts in 3 regions, one of them full
    Then a caller of r1 gets hosts of r1 first, the full one last of them
    And two callers of one customer in one region get the same first host
    And eight customers do not all get the same first host

  Scenario: Client blocks: the longest prefix wins, random tables agree with a scan
    Then 200 random tables of nested blocks agree with a linear scan
