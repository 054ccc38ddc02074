Feature: Requests that cannot end in time are refused, but only while that is so

  A run that is cut off at its deadline occupies a slot and serves nobody. A host therefore
  refuses a request at once if the latest runs of its route took longer than it has left.
  What it refuses shows nothing of the servers, so the host has to find out by itself when
  they are well again. Reads have 1 s, payments 1.2 s and reports 4 s. Glances are reads
  whose callers wait for 0.7 s only, summaries are reports whose callers wait for 1 s.

  # Guards against a time, once recorded, that keeps all later requests away from servers
  # which are idle and would show that it does not hold.
  Scenario Outline: Idle servers serve, whatever happened before: <before>
    Given 2 hosts, and 4 servers that answer in 0.05 s
    When <before>
    And all servers answer in 0.05 s
    And callers send 4 reads a second for 5 s
    Then all reads are served

    Examples:
      | before                                                     |
      | each host gets a read, and servers take 3 s for it         |
      | each host gets a payment, and servers take 3 s for it      |
      | each host gets a report, and servers take 2.5 s for it     |
      | each host gets 2 reports, and servers take 2.2 s for them  |

  # Guards against an age alone: the times of heavy requests are renewed all the while.
  Scenario: Reads are served while heavy requests of another route go on
    Given 2 hosts, and 4 servers that answer in 0.05 s
    And servers take 2.2 s for reports
    When callers send 4 reports a second for 3 s
    And callers send 4 reports and 4 reads a second for 6 s
    Then all reads are served
    And all reports are served

  # Guards against a route whose heavy requests keep its light ones away.
  Scenario: Light requests with little time are served beside heavy ones of their route
    Given 2 hosts, and 4 servers that answer in 0.05 s
    And servers take 2.2 s for reports
    When callers send 6 reports a second for 3 s
    And callers send 6 reports and 2 summaries a second for 8 s
    Then at least 90 percent of the summaries are served

  # Guards against times of a slow spell that outlast it.
  Scenario: After a long slow spell the servers serve again
    Given 2 hosts, and 4 servers that answer in 0.05 s
    When callers send 20 reads a second for 2 s
    And all servers answer in 0.9 s
    And callers send 20 reads a second for 9 s
    And all servers answer in 0.05 s
    And callers send 4 glances a second for 6 s
    Then all reads are served
    And all glances that are sent from 2 s on are served

  # Guards against runs in vain, which keep the slots from requests that could end.
  Scenario: In a slow spell under load, hopeless requests are refused at once
    Given 2 hosts, and 4 servers that answer in 0.12 s
    When callers send 60 reads a second for 14 s, and servers take 1.44 s from 2 to 11 s
    Then at most 315 reads run in vain
    And reads that are refused get their answer within 0.2 s
    And all reads that are sent from 13 s on are served

  # Guards against a service of requests that run at most once, which never recovers.
  Scenario: A service that gets payments only serves again after a slow spell
    Given 2 hosts, and 4 servers that answer in 0.12 s
    When callers send 30 payments a second for 14 s, and servers take 2 s from 2 to 10 s
    Then at most 146 payments run in vain
    And all payments that are sent from 13 s on are served

  # Guards against refusals whose line does not tell want of time from want of room.
  Scenario: A refusal for want of time names the figures behind it
    Given 1 hosts, and 4 servers that answer in 3 s
    When 8 callers read at once
    And 2 callers read at once
    Then a line has the reason no-time and these figures
      | figure                |
      | left s                |
      | expected s            |
      | runs                  |
      | newest run age s      |
