Feature: An organisation's rate limit across the fleet
  On every interval, all holders together admit at most burst + rate x length.
  The standing share of a failed holder (here 1/6 of the rate) stays set aside for 1 h.

  Scenario Outline: bound and admitted rate during a fault
    Given 3 holders with drifting clocks and <rate> requests a second, burst <burst>
    And demand above the rate for 10 s
    When the fault "<fault>" lasts <fault_s> s
    Then at least <during>% of the rate was admitted during the fault
    When the fault ends
    Then at least <after>% of the rate is admitted in the following 15 s
    And the bound held on every interval

    Examples:
      | fault                      | rate | burst | fault_s | during | after |
      | nothing                    | 100  | 50    | 20      | 95     | 95    |
      | nothing                    | 1    | 1     | 60      | 80     | 80    |
      | nothing                    | 0.1  | 1     | 100     | 80     | 0     |
      | allocator dies             | 100  | 50    | 40      | 65     | 95    |
      | allocator dies             | 4    | 300   | 40      | 65     | 80    |
      | allocator is paused        | 100  | 50    | 40      | 65     | 95    |
      | allocator is paused        | 4    | 300   | 40      | 65     | 80    |
      | allocator loses platform   | 100  | 50    | 40      | 60     | 90    |
      | allocator loses platform   | 4    | 300   | 40      | 60     | 80    |
      | platform outage            | 100  | 50    | 60      | 47     | 80    |
      | platform outage            | 4    | 300   | 100     | 47     | 70    |
      | one holder is cut off      | 100  | 50    | 30      | 80     | 90    |
      | one holder is paused       | 100  | 50    | 30      | 80     | 95    |
      | one holder is replaced     | 100  | 50    | 30      | 80     | 80    |
      | one holder drains          | 100  | 50    | 30      | 90     | 90    |
      | a holder joins             | 100  | 50    | 30      | 90     | 90    |
      | allocator releases         | 100  | 50    | 20      | 90     | 95    |
      | half of messages lost      | 100  | 50    | 30      | 30     | 80    |
      | messages duplicated        | 100  | 50    | 30      | 90     | 95    |
      | messages delayed to 300 ms | 100  | 50    | 30      | 15     | 90    |
      | rate is lowered to a fifth | 100  | 50    | 30      | 15     | 0     |
      | rate is raised five times  | 100  | 50    | 30      | 300    | 300   |
