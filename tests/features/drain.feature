Feature: A planned stop interrupts no request

  # Work is "statements/transactions" that still run. The timeout is 30 s.

  Scenario Outline: <situation>
    Given a stop that began <elapsed> ms ago with the work "<work>"
    Then the state is "<state>"
    And a new connection is "<connection>"
    And the next statement of an idle session is "<idle>"
    And a statement of an open transaction is "<transaction>"

    Examples:
      | situation                          | elapsed | work | state    | connection | idle   | transaction |
      | no stop                            | -       | 1/1  | SERVING  | accept     | accept | accept      |
      | no stop and no work                | -       | 0/0  | SERVING  | accept     | accept | accept      |
      | statements run                     | 5000    | 3/0  | DRAINING | refuse     | refuse | accept      |
      | a transaction is open              | 26999   | 0/1  | DRAINING | refuse     | refuse | accept      |
      | too late for another statement     | 27000   | 0/1  | FINISHING | refuse    | refuse | refuse      |
      | a statement runs until the end     | 29999   | 1/1  | FINISHING | refuse    | refuse | refuse      |
      | the last statement has ended       | 27000   | 0/0  | CLOSING  | refuse     | refuse | refuse      |
      | no work, peers may not know yet    | 999     | 0/0  | DRAINING | refuse     | refuse | accept      |
      | no work                            | 1000    | 0/0  | CLOSING  | refuse     | refuse | refuse      |
      | deadline with an open transaction  | 30000   | 0/1  | CLOSING  | refuse     | refuse | refuse      |
      | deadline with a running statement  | 40000   | 1/0  | CLOSING  | refuse     | refuse | refuse      |
