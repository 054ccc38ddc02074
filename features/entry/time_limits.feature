Feature: Requests that cannot end in time are refused, but only while that is so

  A run that is cut off at its deadline occupies a slot and serves nobody. A host therefore
  refuses a request at once if the latest runs of its route took longer than it has left.
  What it refuses shows nothing of the servers, so the host has to find out by itself when
  they are well again. Reads have 1 s, payments 1.2 s, glances 0.7 s and reports 4 s.

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
