Feature: A node uses its copy of the keys only while it is recent enough

  # Times are seconds ago, "-" is never. Each peer is
  # "last response:platform up or down in its report:time of the copy taken from it".

  Scenario Outline: <situation>
    Given the platform responded <contact> seconds ago
    And the contacts with peers are "<peers>" of <count> peers
    Then the node decides "<decision>"

    Examples:
      | situation                                    | contact | peers                              | count | decision      |
      | normal service                               | 1       |                                    | 8     | serve         |
      | normal service without peers                 | 1       |                                    | 0     | serve         |
      | a watch is pending                           | 7       |                                    | 8     | serve         |
      | just cut off, peers not queried yet          | 20      |                                    | 8     | serve         |
      | cut off, one peer confirms its copy          | 3600    | 1:up:1                             | 8     | peers         |
      | cut off, the confirmation is too old         | 3600    | 1:up:31                            | 1     | refuse copy   |
      | cut off, peers unresponsive too long         | 31      | 31:down:- 31:down:- 31:down:-      | 4     | refuse peers  |
      | cut off, half of the peers respond           | 31      | 1:down:- 1:down:-                  | 4     | refuse peers  |
      | cut off, no peer responds                    | 31      |                                    | 4     | refuse peers  |
      | cut off, without peers                       | 31      |                                    | 0     | refuse peers  |
      | outage, more than half agree                 | 3600    | 1:down:- 1:down:- 1:down:-         | 4     | outage        |
      | outage, reports nearly too old               | 3600    | 30:down:- 30:down:- 29:down:-      | 4     | outage        |
      | outage, half agree, the rest is unresponsive | 3600    | 1:down:- 1:down:-                  | 4     | refuse peers  |
      | outage, half agree and the rest has no copy  | 3600    | 1:down:- 1:down:- 1:up:- 1:up:-    | 4     | refuse copy   |
      | outage, a minority reaches the platform      | 3600    | 1:down:- 1:down:- 1:down:- 1:up:2  | 4     | peers         |
      | outage of nearly 24 h                        | 86400   | 1:down:- 1:down:-                  | 2     | outage        |
      | outage of more than 24 h                     | 86401   | 1:down:- 1:down:-                  | 2     | refuse age    |
      | outage, a peer's copy was later              | 90000   | 1:down:4000 1:down:-               | 2     | outage        |
      | started in an outage, with a copy            | -       | 1:down:4000 1:down:-               | 2     | outage        |
      | started in an outage, no copy                | -       | 1:down:- 1:down:-                  | 2     | refuse age    |
