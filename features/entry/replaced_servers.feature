Feature: A server whose address responds for another server gets no requests

  A server rejects a request that names another one, with status 421. Its own address was
  then given to it after the other server had ended.

  # Guards against a late rejection that removes the process which has registered since,
  # and which nothing brings back, as its registration does not change any more.
  Scenario Outline: A rejection of an earlier registration leaves the new one in use: <change>
    Given a registered server to which a request is on its way
    When the server registers <change>
    And the request is rejected by another server at the address
    Then the server is in use

    Examples:
      | change                                 |
      | as another process                     |
      | at another address                     |
      | as another process, at another address |

  Scenario: A rejection of the registration in force takes the server out of use
    Given a registered server to which a request is on its way
    When the request is rejected by another server at the address
    Then the server is not in use

  # Guards against a server that stays out of use at one host for good, after a rejection
  # that was wrong: only a request could show that, and none is sent.
  Scenario: A server that is still registered is tried again
    Given a registered server to which a request is on its way
    When the request is rejected by another server at the address
    And its registration goes on for 9.5 s
    Then the server is not in use
    When its registration goes on for 0.5 s
    Then the server is in use

  Scenario: A server whose registration is removed meanwhile is not
    Given a registered server to which a request is on its way
    When the request is rejected by another server at the address
    And its registration is removed
    And 20 s more pass
    Then the server is not in use
