Feature: Large responses of unknown length are forwarded as they arrive

  A server may send a response in chunks, or without a length, so that it ends with its
  connection. The caller gets it in chunks. If it breaks off, the last chunk is missing.

  Background:
    Given a stand-in store with a configuration and 2 servers
    And an entry host that forwards bodies of 10 kB or more as they arrive

  Scenario Outline: A body of unknown length arrives whole: <size> bytes <framing>
    Given every server sends <size> bytes <framing>
    When the whole response to /big/1 is read
    Then it gets <size> bytes in a complete response <form>
    And <streamed> responses were forwarded as they arrived

    Examples:
      | framing          | size   | form          | streamed |
      | in chunks        | 9000   | with a length | 0        |
      | in chunks        | 40000  | in chunks     | 1        |
      | in chunks        | 700000 | in chunks     | 1        |
      | without a length | 9000   | with a length | 0        |
      | without a length | 40000  | in chunks     | 1        |
      | without a length | 700000 | in chunks     | 1        |

  # Guards against a caller that takes a part of a response for all of it.
  Scenario Outline: A response that breaks off never looks complete: <framing>, <fault>
    Given every server sends 40000 bytes <framing> and then <fault>
    When the whole response to /short/1 is read
    Then it gets an incomplete response
    And the servers got 1 request together

    Examples:
      | framing          | fault                 |
      | in chunks        | resets the connection |
      | in chunks        | closes the connection |
      | in chunks        | sends nothing for 5 s |
      | without a length | resets the connection |
      | without a length | sends nothing for 5 s |

  Scenario Outline: A caller that knows no chunks gets the response whole: <framing>
    Given every server sends 40000 bytes <framing>
    When the whole response to /big/1 is read by a caller of HTTP/1.0
    Then it gets 40000 bytes in a complete response with a length
    And 0 responses were forwarded as they arrived

    Examples:
      | framing          |
      | in chunks        |
      | without a length |

  Scenario: The connection is used again after a response in chunks
    Given every server sends 40000 bytes in chunks
    When /big/1 is read three times on one connection
    Then it gets three complete responses of 40000 bytes

  # Guards against responses that a slow reader leaves in the host, whatever their length.
  Scenario Outline: Slow readers of long responses take a bounded memory: <framing>
    Given every server sends 16000000 bytes <framing>
    When 20 readers ask for /big/1 and read nothing for 1 s
    Then the host held at most 64 KiB of bodies for each reader

    Examples:
      | framing          |
      | in chunks        |
      | without a length |

  Scenario: A response without end is cut off at a limit
    Given every server sends bytes without end
    When the whole response to /big/1 is read
    Then it gets an incomplete response of at most 33 MiB

  # Guards against shorter responses that together fill the memory.
  Scenario Outline: Shorter responses are forwarded, too, once whole ones take their part: <kind>
    Given bodies from 1250000 bytes are forwarded, and whole ones may take 12500000
    When responses of 540000 bytes are <kind> until one is forwarded
    Then 23 are received whole before it
    And a response of 60000 bytes is received whole all the same

    Examples:
      | kind                               |
      | announced                          |
      | written to callers that do not read |

  Scenario: Shorter request bodies are forwarded, too, once whole ones take their part
    Given bodies from 1250000 bytes are forwarded, and whole ones may take 12500000
    Then a request body is forwarded or received whole
      | bytes   | buffered | forwarded |
      | 1250000 | 0        | yes       |
      | 540000  | 11900000 | no        |
      | 540000  | 12000000 | yes       |
      | 60000   | 90000000 | no        |

  # Guards against a part of a response that looks complete, as its end came before the
  # reset that the rest of the request met.
  Scenario Outline: A response that ends before its request is complete only if no reset follows: <case>
    Given every server ends a response of <part> bytes without a length at once, and then <fault>
    When an upload of <size> bytes <framing> to /bigpay/1 is sent in <seconds> s while the response is read
    Then it gets <outcome>
    And the servers got 1 request together

    Examples:
      | case                        | part    | fault                 | size    | framing       | seconds | outcome                                         |
      | reset, small response       | 100     | resets the connection | 8000000 | with a length | 1.0     | no response that is complete                    |
      | reset, long response        | 200000  | resets the connection | 8000000 | with a length | 1.0     | no response that is complete                    |
      | reset, upload in chunks     | 100     | resets the connection | 8000000 | in chunks     | 1.0     | no response that is complete                    |
      | reset, upload pauses        | 100     | resets the connection | 400000  | with a length | 3.0     | no response that is complete                    |
      | the rest is read, small     | 100     | reads on              | 8000000 | with a length | 1.0     | 100 bytes in a complete response with a length   |
      | the rest is read, long      | 200000  | reads on              | 8000000 | with a length | 1.0     | 200000 bytes in a complete response in chunks   |
      | the rest is read, in chunks | 200000  | reads on              | 8000000 | in chunks     | 1.0     | 200000 bytes in a complete response in chunks   |
      | the request was there       | 200000  | reads on              | 5000    | with a length | 0.0     | 200000 bytes in a complete response in chunks   |
