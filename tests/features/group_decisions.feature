Feature: Decisions of a database group under faults

  # Members are written as name:term/fenced term/role/sequence; P primary, R replica.

  Scenario Outline: strict reads of a group of <size> in term 2 with primary a
    Given a group of <size> members in term 2 that began at 10
    When a round returns "<statuses>"
    Then a strict read runs on "<choice>"

    Examples:
      | size | statuses                                    | choice        |
      | 3    | a:2/2/P/14 b:2/2/R/12 c:2/2/R/13            | replicas c    |
      | 3    | a:2/2/P/14 b:2/2/R/13 c:2/2/R/13            | replicas b c  |
      | 3    | b:2/2/R/12 c:2/2/R/13                       | replicas c    |
      | 3    | a:2/2/P/14 b:2/2/R/14                       | at least 14   |
      | 3    | a:2/2/P/14 b:2/2/R/13                       | primary 14    |
      | 3    | a:2/2/P/14 b:2/2/R/14 c:1/2/R/20            | at least 14   |
      | 3    | a:2/2/P/14 b:2/3/R/14                       | nothing       |
      | 3    | a:2/3/P/14 b:2/2/R/14                       | nothing       |
      | 3    | a:2/2/P/14                                  | nothing       |
      | 3    | b:2/2/R/14                                  | nothing       |
      | 3    | a:1/1/P/14 b:1/1/R/14 c:1/1/R/14            | nothing       |
      | 3    |                                             | nothing       |
      | 5    | b:2/2/R/12 c:2/2/R/13 d:2/2/R/14 e:2/2/R/11 | replicas c d  |
      | 5    | b:2/2/R/12 c:2/2/R/13 d:2/2/R/14            | replicas d    |
      | 5    | a:2/2/P/14 b:2/2/R/14 c:2/2/R/13            | at least 14   |
      | 5    | b:2/2/R/14 c:2/2/R/14                       | nothing       |
      | 4    | a:2/2/P/14 b:2/2/R/13                       | primary 14    |
      | 4    | b:2/2/R/13 c:2/2/R/13                       | nothing       |
      | 2    | a:2/2/P/14 b:2/2/R/13                       | replicas b    |
      | 2    | a:2/2/P/14                                  | primary 14    |
      | 1    | a:2/2/P/14                                  | primary 14    |

  Scenario Outline: confirmed position of a group of <size>
    Given a group of <size> members in term 2 that began at 10
    When a round returns "<statuses>"
    Then the confirmed sequence is "<sequence>"

    Examples:
      | size | statuses                                    | sequence |
      | 3    | a:2/2/P/14 b:2/2/R/12 c:2/2/R/13            | 13       |
      | 3    | a:2/2/P/14 b:2/3/R/14 c:2/2/R/11            | 11       |
      | 3    | a:2/2/P/14 b:1/2/R/14                       | none     |
      | 3    | a:2/2/P/14                                  | none     |
      | 5    | b:2/2/R/14 c:2/2/R/12 d:2/2/R/11            | 12       |
      | 5    | b:2/2/R/14                                  | none     |
      | 2    | a:2/2/P/14                                  | none     |
      | 1    | a:2/2/P/14                                  | 14       |
      | 1    | a:2/3/P/14                                  | none     |

  Scenario Outline: outcome of a commit of term <term> between <before> and <after>
    Given a group of 3 members in term 3 that began at 20, after term 2 at 10
    When a round returns "<statuses>"
    Then a commit of term <term> between <before> and <after> is "<outcome>"

    Examples:
      | term | before | after | statuses              | outcome        |
      | 3    | 20     | 21    | b:3/3/R/21            | Confirmed      |
      | 3    | 20     | 21    | b:3/3/R/20 c:3/4/R/21 | StillUnknown   |
      | 3    | 20     | 21    |                       | StillUnknown   |
      | 4    | 20     | 21    | b:3/3/R/21            | StillUnknown   |
      | 2    | 18     | 20    | b:3/3/R/20            | RanInHistory   |
      | 2    | 18     | 20    | b:2/2/R/20            | StillUnknown   |
      | 2    | 18     | 21    | b:3/3/R/22            | StillUnknown   |
      | 2    | 20     | 21    |                       | DidNotRun      |
      | 1    | 9      | 10    | b:3/3/R/20            | RanInHistory   |
      | 1    | 10     | 11    | b:3/3/R/20            | DidNotRun      |
      | 1    | 0      | 11    | b:3/3/R/20            | StillUnknown   |

  Scenario Outline: election for term 3 with <leaving> leaving
    Given a group of 3 members in term 2 that began at 10
    When members respond to the fence with "<statuses>" and "<leaving>" are leaving
    Then "<chosen>" is elected from <start>

    Examples:
      | statuses                         | leaving | chosen | start |
      | a:2/3/P/14 b:2/3/R/12            |         | a      | 14    |
      | b:2/3/R/12 c:2/3/R/13            |         | c      | 13    |
      | b:2/3/R/13 c:2/3/R/13            |         | b      | 13    |
      | b:2/3/R/13 c:2/3/R/13            | b       | c      | 13    |
      | a:2/3/P/13 c:2/3/R/13            |         | c      | 13    |
      | a:2/3/P/13 c:2/3/R/13            | c       | a      | 13    |
      | b:2/3/R/12 c:2/3/R/13            | c       | c      | 13    |
      | b:2/3/R/13 c:2/3/R/13            | b c     | b      | 13    |
      | b:2/3/R/12                       |         | nobody | 0     |
      | b:2/3/R/12 c:2/2/R/13            |         | nobody | 0     |
      | b:2/3/R/12 c:2/4/R/13            |         | nobody | 0     |
      | b:2/3/R/12 c:3/3/R/13            |         | nobody | 0     |
      | b:2/3/R/12 c:1/3/R/20            |         | b      | 12    |
      | b:1/3/R/10 c:1/3/R/20            |         | b      | 10    |
      | b:1/3/R/9 c:1/3/R/20             |         | nobody | 0     |

  Scenario Outline: votes of three voters
    Given votes "<votes>" of the voters p q r
    Then the vote at <now> ms is "<result>"

    Examples:
      | votes                  | now  | result |
      | p:yes@0 q:yes@0        | 100  | agreed |
      | p:yes@0                | 100  | open   |
      | p:yes@0 q:no@0 r:yes@0 | 100  | agreed |
      | p:yes@0 q:yes@0        | 1600 | open   |
      | p:yes@0 x:yes@0        | 100  | open   |
      | p:yes@0 p:yes@50       | 100  | open   |
      | p:yes@0 q:yes@0 q:no@9 | 100  | open   |
