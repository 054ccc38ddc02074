Feature: A request that ends the servers that run it is not sent to ever more of them

  A request may end each backend server that begins to run it, and callers may send it
  again, to any host. After it has ended three servers, hosts refuse it.

  # Guards against incident second1: each host tried it anew on every attempt of a caller.
  Scenario: Twelve hosts stop a request that ended three servers
    Given 12 hosts in 2 data centres
    And 12 more servers beside the first
    When callers send /read/bad, which ends servers, 8 times a second to all hosts for 10 s
    Then at most 3 servers receive it later than 3 s after it ended the third
    And /read/bad gets 503 with a Retry-After header from every host
    And /read/good is served by every host

  # Guards against the same in a fleet whose hosts hear of each other through relays.
  Scenario: Thirty hosts with relays stop a request that ended three servers
    Given 30 hosts in 2 data centres
    And 12 more servers beside the first
    When callers send /read/bad, which ends servers, 8 times a second to all hosts for 10 s
    Then at most 3 servers receive it later than 3 s after it ended the third
    And /read/bad gets 503 with a Retry-After header from every host

  # Guards against a fleet that forgets all blocked requests when all hosts restart.
  Scenario: A request stays blocked when all hosts are killed and start again
    Given 3 hosts in 2 data centres
    And 6 more servers beside the first
    When callers send /read/bad, which ends servers, 20 times a second to all hosts for 2 s
    And all hosts are killed and start again
    And the servers forget what they received
    Then /read/bad gets 503 with a Retry-After header from every host
    And no server received it
    When the store comes back from a copy without blocked requests
    Then within 2 s the store has the blocked request again

  # Guards against refusing for 600 s what was lost beside the request that ended servers.
  Scenario: Of requests that lost responses together, those that end no server are served again
    Given 6 hosts that block 2 requests, lost at the same servers, 1 of which ends servers
    When callers send both requests to every host 2 times a second for 40 s
    Then within 30 s every host serves the one that ends no server
    And the other one ends at most 3 more servers, in each of 50 fleets
    Given 6 hosts that block 1 requests, lost at the same servers, 1 of which ends servers
    When callers send both requests to every host 2 times a second for 40 s
    Then the other one ends at most 0 more servers, in each of 50 fleets

  Scenario: A host tries a blocked request at one server only
    Given a stand-in store with a configuration and 4 servers
    And an entry host that is ready
    And the host blocked /read/1 and /read/bad, which ends servers, 30 s ago
    When each of them is sent 3 times, the latter first
    Then /read/1 was answered each time
    And /read/bad was sent to 1 server and refused each other time

  # Guards against hosts that start later and block what a server answered since.
  Scenario: The object of a blocked request is removed once a server answers it
    Given a stand-in store with a configuration and 1 servers
    And an entry host that is ready
    And three servers lost their responses to a request, which is stored
    When a server answers the request
    Then within 2 s the store has no blocked request
    When the store comes back from the copy that has the blocked request, twice
    Then within 2 s the store has no blocked request

  Scenario: The object of a blocked request is removed after a silence of the store
    Given a stand-in store with a configuration and 1 servers
    And an entry host that is ready
    And three servers lost their responses to a request, which is stored
    When the store refuses calls for 1.5 s, and a server answers the request meanwhile
    Then within 2 s the store has no blocked request

  Scenario: Objects of blocked requests that cannot be right are ignored
    Then a block that is stored survives a host's clock that is wrong by 5 s
    And an expired or malformed object blocks nothing

  # Guards against counting a server once that ended several times, unnoticed by the store.
  Scenario: Servers that end again before they register again count again
    Given 3 hosts in 2 data centres
    And 2 more servers beside the first
    When callers send /read/bad, which ends servers without a trace, 4 times a second to all hosts for 14 s
    Then /read/bad gets 503 with a Retry-After header from every host

  # Guards against blocking requests that were lost only because others ended servers.
  Scenario: Only a request that no server answers is blocked
    Then these losses and answers of a request block it or do not
      | events                        | blocked |
      | loss a, loss b                | no      |
      | loss a, loss b, loss c        | yes     |
      | loss a, loss a, loss a        | no      |
      | loss a, loss b, answer, loss c | no     |
      | loss a, answer, loss b, loss c, loss d | yes |
      | loss a, loss b, 600 s, loss c | no      |
      | loss a, alive a, loss b, loss c | no |
      | loss a, 1 s, alive a, loss b, loss c | yes |
      | alive a, loss a, loss b, loss c | yes |
    And a request that was blocked is admitted 600 s after its first loss
    And hosts agree whatever order and repetition their reports have
    And a host remembers no more than 1000 requests, and forgets the oldest first

  # Guards against seed 11 of the fault soak: hosts refused for 600 s what others served.
  Scenario: A request that any host's server answered is not blocked at the others
    Then 5 losses that one host knows are exonerated by an answer at another that knows 2
    And 30 losses that one host knows are exonerated by an answer at another that knows 2
    And a host that was cut off for 60 s learns of the exoneration on its return
    And hosts agree that a request is blocked that ended servers after an answer

  # Guards against blocking what live servers lose the answers of, as on trouble-1.
  Scenario: A request that loses its answers at servers that stay alive is not blocked
    Given 12 hosts in 2 data centres
    And 6 more servers beside the first
    When the servers lose all answers to /read/lost, and serve others, for 5 s
    Then /read/lost is not blocked at any host

  # Guards against blocking what callers gave up, once any request had lost a response.
  Scenario: A request whose callers left is not blamed
    Given a stand-in store with a configuration and 4 servers
    And an entry host that is ready
    And another request has lost a response
    And every server takes 0.4 s
    When 6 callers of /read/slow disconnect after 0.1 s
    And another 0.5 s pass
    Then no request is suspected but that one
