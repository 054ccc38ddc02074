Feature: Clients that keep to no limit end no host and shut nobody out

  Scenario Outline: A crowd that fills memory is held within it: <conduct>, <port> port
    Given a host process with 100 MB of memory and 4100 descriptors
    When <count> clients send <conduct> to its <port> port for 6 s, beside ordinary requests
    Then the host process lives
    And it stayed within its memory and its descriptors
    And an ordinary request was answered beside the crowd
    And an ordinary request is answered afterwards

    Examples:
      | conduct                                     | count | port      |
      | headers of four bytes without end           | 150   | callers   |
      | headers of four bytes without end           | 150   | directory |
      | headers of four bytes without end           | 150   | readiness |
      | a head of small headers that stays open     | 300   | callers   |
      | a head of small headers that stays open     | 300   | directory |
      | large heads whose bodies stay open          | 300   | callers   |
      | bodies of which the last bytes are missing  | 1000  | callers   |
      | requests without reading                    | 300   | callers   |
      | requests of an unknown path                 | 300   | callers   |
      | look-ups without reading                    | 300   | directory |
      | empty lines                                 | 300   | callers   |
      | empty lines of one byte                     | 300   | callers   |
      | one header without end                      | 300   | callers   |
      | a line without end                          | 300   | callers   |
      | trailers without end                        | 300   | callers   |
      | frames of 16 MiB                            | 60    | peers     |

  Scenario Outline: A crowd that costs time leaves some to others: <count> x <conduct>
    Given a host process with 100 MB of memory and 4100 descriptors
    When <count> clients send <conduct> to its callers port for 6 s, beside ordinary requests
    Then the host process lives
    And it stayed within its memory and its descriptors
    And an ordinary request was answered beside the crowd
    And an ordinary request is answered afterwards

    Examples:
      | conduct                  | count |
      | chunks of one byte       | 30    |
      | requests without reading | 30    |
      | chunks of one byte       | 300   |

  Scenario Outline: A crowd at the peers' port that sends no messages of hosts is ignored: <conduct>
    Given a host process with 100 MB of memory and 4100 descriptors
    When 10 clients send <conduct> to its peers port for 6 s, beside ordinary requests
    Then the host process lives
    And it stayed within its memory and its descriptors
    And an ordinary request was answered beside the crowd
    And an ordinary request is answered afterwards

    Examples:
      | conduct                   |
      | datagrams of other bytes  |
      | empty datagrams           |
      | datagrams of nested lists |

  Scenario Outline: A crowd that takes all connections gives way to others: <port> port
    Given a host process with 100 MB of memory and 300 descriptors
    When 400 clients send nothing to its <port> port for 6 s, beside ordinary requests
    Then the host process lives
    And it stayed within its memory and its descriptors
    And an ordinary request was answered beside the crowd
    And an ordinary request is answered afterwards

    Examples:
      | port      |
      | callers   |
      | directory |
      | metrics   |
      | peers     |
