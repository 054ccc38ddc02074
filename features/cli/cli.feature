Feature: Command line, checks of settings, and generated pages

  Scenario Outline: The example settings of <name> are valid
    When the command "check -c examples/<name>-host.ini" is run
    Then it ends with 0

    Examples:
      | name |
      | masa |
      | raiz |

  Scenario: Every problem of a settings file is listed at once
    Given a settings file with a missing, an unknown and a wrong option
    When it is checked
    Then it ends with 2 and lists 3 problems with id, section, option and remedy

  Scenario Outline: A check finds <problem> as <id>
    Given the settings of an example with <option> set to <value>
    Then the check <id> finds it

    Examples:
      | problem               | option               | value           | id          |
      | shared ports          | caller.address       | 127.0.0.1:17082 | checks.E101 |
      | an open admin port    | admin.address        | 10.0.0.1:1      | checks.E102 |
      | a short fence         | membership.fence_s   | 2               | checks.E103 |
      | a short bound         | isolation.bound_s    | 1               | checks.W104 |
      | withdrawn keys in use | isolation.keyed      | serve           | checks.W105 |

  Scenario: The template of the platform's deploy file is valid
    When the command "check -c deploy/host.ini.template" is run
    Then it ends with 0

  Scenario Outline: A check of an entry host finds <problem> as <id>
    Given the deploy template with "<text>" in place of "<before>"
    When it is checked
    Then it ends with <code> and reports <id>

    Examples:
      | problem               | before                          | text              | code | id                     |
      | shared ports          | {{Listen.ReadyAddr}}            | {{Listen.Front}}  | 2    | entry.E201             |
      | an unknown zone       | data_centre = {{Zone}}          | data_centre = x   | 2    | entry.E202             |
      | another region        | region = {{Region}}             | region = x        | 2    | entry.E203             |
      | unreadable bounds     | agreed = {{Bounds\|json}}       | agreed = {}       | 2    | entry.E204             |
      | a host without seeds  | seeds = {{Seeds}}               | seeds =           | 0    | entry.W205             |
      | a misspelt value      | {{NodeName}}                    | {{NodName}}       | 2    | asks for NodName       |
      | an unknown option     | name = {{NodeName}}             | nam = x           | 2    | unknown field          |

  Scenario Outline: A check of an entry host with leases finds <problem> as <id>
    Given the deploy template with leases, and "<text>" in place of "<before>"
    When it is checked
    Then it ends with 2 and reports <id>

    Examples:
      | problem             | before          | text              | id         |
      | leases elsewhere    | leases = {{Ip}} | leases = 10.9.9.9 | entry.E207 |
      | lease port too high | {{PortRange.1}} | 70000             | entry.E208 |
      | lease port 0        | {{PortRange.1}} | 0                 | entry.E208 |
      | a shared lease port | {{PortRange.1}} | 8003              | entry.E201 |

  Scenario Outline: A settings file that is not text is rejected without a crash
    Given a settings file that is not text, with <section>
    When it is checked
    Then it ends with 2 and reports cannot be read

    Examples:
      | section  |
      | [host]   |
      | [listen] |

  Scenario: Operators write desired state and read it back
    Given a platform for the command line
    When the command "apply -f examples/masa.yaml" is run
    Then it ends with 0
    When the command "apply -f examples/masa.yaml --dry-run" is run
    Then it ends with 0 and prints nothing
    When the command "get Customer c0 --json" is run
    Then it ends with 0 and prints "rate"
    When the command "key issue k1 c0" is run
    Then it ends with 0 and prints "Secret, shown only now"
    When the command "key withdraw k1" is run
    Then it ends with 0 and prints "withdrawn"
    When the command "drain start --server suscripciones-00" is run
    Then it ends with 0 and prints "drain-suscripciones-00"
    When the command "describe Drain drain-suscripciones-00" is run
    Then it ends with 0 and prints "Not yet at"
    When the command "drain cancel drain-suscripciones-00" is run
    Then it ends with 0 and prints "cancelled"
    When the command "audit --last 5" is run
    Then it ends with 0 and prints "Drain/drain-suscripciones-00"
    When the command "delete Customer nobody" is run
    Then it ends with 5
    When the command "get Nothing" is run
    Then it ends with 0

  Scenario: A file with an invalid object writes nothing
    Given a platform for the command line
    And a file with one valid and one invalid object
    When that file is applied
    Then it ends with 2 and nothing was written

  Scenario: A platform that does not answer gives exit code 3
    Given a platform for the command line that has stopped
    When the command "get Customer" is run
    Then it ends with 3

  Scenario: Random settings and object files give a clear error and no crash
    Then 100 random INI files and 100 random object files load or name a remedy

  Scenario: Generated pages and examples are current, and links lead to files
    Then the generated pages are current
    And every link in README and docs leads to a file

  Scenario: Hosts are started on ports that outgoing connections do not use
    Then 200 free ports are distinct and below the ports of outgoing connections

  Scenario: Events have unique numbers, and the code uses every one
    Then the events' numbers are unique and each is used

  Scenario: Alert rules and dashboard name metrics that exist
    Given a host's registry of metrics
    Then every metric of the alert rules and the dashboard is in it

  Scenario: The program starts no process
    Then no module of the program uses a function that starts a process
