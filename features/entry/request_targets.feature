Feature: Requests are understood in each form that HTTP allows

  Background:
    Given a stand-in store with a configuration and 2 servers
    And an entry host that is ready

  # Guards against proper requests that get 404 or 401, as their target names the host, or
  # as white space follows a header's value.
  Scenario Outline: A target that names its host is served by that host's routes: <target>
    When the target <target> is sent with the host header <host>
    Then it gets <status>
    And the servers got <paths>

    Examples:
      | target                             | host          | status | paths        |
      | http://shop.example/read/1?a=b     | shop.example  | 200    | /read/1?a=b  |
      | HTTP://SHOP.example:80/read/1      | shop.example  | 200    | /read/1      |
      | http://shop.example/read/1         | other.example | 200    | /read/1      |
      | http://other.example/read/1        | shop.example  | 404    | nothing      |
      | http://shop.example                | shop.example  | 404    | nothing      |
      | http://shop.example?a=b            | shop.example  | 404    | nothing      |
      | http://user@shop.example/read/1    | shop.example  | 404    | nothing      |
      | /read/http://other.example/        | shop.example  | 200    | /read/http://other.example/ |

  Scenario Outline: White space around a header's value is no part of it: <case>
    When a request for /read/1 is sent with <case> around its key
    Then it gets 200

    Examples:
      | case                    |
      | spaces                  |
      | tabs                    |
