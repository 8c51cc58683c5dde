Feature: One promotion attempt under faults

  # Faults are written as step:fault,...; each fault hits one call of the step in order.
  # silent: no response; lost: carried out, response lost; refused: error response.
  # raced: another promoter records the term first.

  Scenario Outline: an attempt with faults <faults>
    Given a group of three members whose primary a is down
    When node p promotes with faults "<faults>"
    Then the attempt is <end> with term <term> and primary <primary>
    And it took at most <limit> ms

    Examples:
      | faults                                             | end    | term | primary | limit |
      |                                                    | done   | 2    | c       | 0     |
      | vote:silent                                        | done   | 2    | c       | 500   |
      | vote:opposed                                       | done   | 2    | c       | 500   |
      | vote:opposed,vote:opposed,vote:opposed             | failed | 1    | a       | 1500  |
      | vote:silent,vote:silent,vote:silent                | failed | 1    | a       | 1500  |
      | read:silent                                        | done   | 2    | c       | 1100  |
      | read:down                                          | done   | 2    | c       | 100   |
      | read:down,read:down,read:down,read:down            | done   | 2    | c       | 1500  |
      | read:raced                                         | lost   | 2    | b       | 0     |
      | fence:silent                                       | done   | 2    | c       | 500   |
      | fence:refused                                      | done   | 2    | c       | 500   |
      | fence:lost                                         | done   | 2    | c       | 500   |
      | fence:down,fence:down,fence:down                   | failed | 1    | a       | 1500  |
      | record:silent                                      | done   | 2    | c       | 500   |
      | record:lost                                        | done   | 2    | c       | 500   |
      | record:down                                        | done   | 2    | c       | 100   |
      | record:down,read again:down,read again:down        | done   | 2    | c       | 700   |
      | record:lost,read again:down                        | done   | 2    | c       | 700   |
      | record:raced                                       | lost   | 2    | b       | 0     |
      | record:late                                        | done   | 2    | c       | 500   |
      | promote:silent                                     | done   | 2    | c       | 500   |
      | promote:lost                                       | done   | 2    | c       | 500   |
      | promote:refused                                    | done   | 2    | c       | 500   |
      | promote:silent,promote:silent,promote:silent       | failed | 2    | c       | 1500  |
      | promote:raced                                      | lost   | 3    | b       | 0     |
      | follow:silent                                      | done   | 2    | c       | 500   |
      | follow:refused                                     | done   | 2    | c       | 500   |
