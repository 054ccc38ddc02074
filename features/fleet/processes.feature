Feature: A fleet of processes keeps its guarantees under combined faults

  Scenario: Twelve hosts under load, with outage, pause, kill, withdrawal and stop
    Given 12 host processes of masa under load at 60 % of every rate
    When the following happens
      | at  | event                      |
      | 4   | withdraw the key of c7     |
      | 8   | the platform goes down     |
      | 12  | pause host-03              |
      | 20  | kill host-05               |
      | 27  | resume host-03             |
      | 68  | the platform recovers      |
      | 74  | drain suscripciones-01     |
      | 75  | stop host-07 as planned    |
      | 90  | end                        |
    Then no guarantee was violated
    And at least 97 % of the requests inside their rate were served
    And keyed writes were refused as claim-unavailable only while the platform was down
    And the stopped host ended with 0
    And no host logged a failure

  Scenario: A large upload passes through a host without filling its memory
    Given one host process with servers next to it
    When a caller uploads 200 MB in chunks
    Then the server received 200 MB
    And the host's memory grew by less than 16 MB
