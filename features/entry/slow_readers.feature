Feature: Callers that read slowly get whole responses

  Background:
    Given a stand-in store with a configuration and 2 servers
    And an entry host that receives bodies of up to 1.2 MB whole

  # Guards against a stop that counts a response as done once it is written, although its
  # caller has not read it.
  Scenario: A planned stop waits for a slow reader of a response that was received whole
    Given every server sends bodies of 1200000 bytes
    When the host is stopped while a slow caller reads 1200000 bytes within 1.5 s
    Then the caller gets the whole body of 1200000 bytes
    And at most 64 KiB of it were unread as the stop ended
    And 0 responses were forwarded as they arrived
    And the host aborted no request

  # Guards against a connection that is ended a moment after its last response was written.
  Scenario: A caller that closes its connection after the response may read it slowly
    Given every server sends bodies of 1200000 bytes
    When a slow caller asks for /big/1 and to close the connection, and reads within 2.5 s
    Then the caller gets the whole body of 1200000 bytes

  Scenario: A caller that stops reading is given up after the idle timeout
    Given every server sends bodies of 1200000 bytes
    When a slow caller asks for /big/1 and to close the connection, and reads nothing
    Then the host ends its connection 2 to 5 s later

  Scenario: A planned stop ends before the process is killed although a caller reads nothing
    Given every server sends bodies of 1200000 bytes
    When the host is stopped while a caller reads nothing of a response
    Then the stop took 1 to 2 s
