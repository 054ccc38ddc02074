# Guards against benchmarks that break unseen when the code that they measure changes.
Feature: Each benchmark runs at its smallest size

  Scenario Outline: A benchmark runs at its smallest size
    When the benchmark of <subject> runs at its smallest size
    Then it prints "<text>"

    Examples:
      | subject   | text           |
      | decisions | rank entry     |
      | loans     | 2 hosts, 1 s   |
      | relays    | 26 hosts in  2 |
      | requests  | CPU a request  |
      | control   | 1 hosts        |
      | readers   | read by 1 of 1 |
      | uploads   | served 1 of 1  |
