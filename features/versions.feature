Feature: Processes of one version and of the one before or after it run side by side
  An upgrade replaces one process after the other. Until it is over, each protocol of the system's own
  processes is spoken between two versions. What an earlier version said is in features/recorded.

  Scenario Outline: A link to another version is greeted
    Given what version "<version>" said
    When its hello comes on a link
    And a hello comes of a later version with fields that are not known
    Then both are told as greeted
    And this version's hello has every field that the other reads

    Examples:
      | version    |
      | first      |
      | landing-6  |
      | landing-8  |
      | landing-11 |

  Scenario: Kinds that are not known are passed over on every link
    When a kind that is not known comes to a gatekeeper, to a publisher, to cells and to the agreement
    Then nobody is told anything and no link ends

  Scenario Outline: A gatekeeper of the version before follows a core machine of this one
    Given what version "<version>" said
    When its ticks, questions and rows come to a core machine
    Then each is answered, with every field that it was answered before

    Examples:
      | version    |
      | first      |
      | landing-6  |
      | landing-8  |
      | landing-11 |

  Scenario Outline: A gatekeeper of this version follows a core machine of the version before
    Given what version "<version>" said
    When it is told what the core machine of that version says
    Then it holds edition 7 with 1 route and 2 workers
    And what it holds is known to be fresh

    Examples:
      | version    |
      | first      |
      | landing-6  |
      | landing-8  |
      | landing-11 |

  Scenario Outline: News go through where one side is of another version
    When a gatekeeper and a core machine talk while <what>
    Then it holds edition 7 with 1 route and 2 workers

    Examples:
      | what                                      |
      | every message and row has more fields     |
      | what may be left out is left out          |
      | a change is of a kind that is not known   |

  Scenario Outline: Cells take what the version before says of workers and gatekeepers
    Given what version "<version>" said
    When its messages come to another core machine's cells
    Then worker "w1" is unloading and gatekeeper "g1" is ready there
    And the rows of this version begin with the columns of that one

    Examples:
      | version    |
      | first      |
      | landing-6  |
      | landing-8  |
      | landing-11 |

  Scenario Outline: Core machines of two versions agree
    Given three core machines of which one <how>
    When an operator puts edition 5 at each in turn
    Then all three hold edition 5

    Examples:
      | how                                     |
      | adds fields and kinds that are not known |
      | leaves out who has gone silent           |

  Scenario Outline: The agreement reads each message of the version before
    Given what version "<version>" said
    Then each of its messages of the agreement is read, and this version says the same kinds

    Examples:
      | version    |
      | first      |
      | landing-6  |
      | landing-8  |
      | landing-11 |

  Scenario Outline: Gateway probers of two versions find each other
    Given what version "<version>" said
    When a prober hears the datagrams of the version before
    Then it takes the other for a member that is there
    And its datagrams are the same, byte by byte, when read and written again

    Examples:
      | version    |
      | first      |
      | landing-6  |
      | landing-8  |
      | landing-11 |

  Scenario Outline: The disk of the version before is read
    Given what version "<version>" said
    When a core machine starts on its disk
    Then it remembers its disk id, its promise and what it had taken, and counts one start more

    Examples:
      | version    |
      | first      |
      | landing-6  |
      | landing-8  |
      | landing-11 |

  Scenario: A disk of a later version is left as it is
    When a core machine starts on a disk of a later format
    Then it refuses to start, and the disk is as it was

  Scenario Outline: Gatekeepers of two versions tell each other what tenants have used
    Given what version "<version>" said
    When a gatekeeper hears the counts of the version before
    Then it leaves less of the tenant's quota than one that hears nothing
    And those counts are the same, byte by byte, when read and written again

    Examples:
      | version    |
      | landing-8  |
      | landing-11 |

  Scenario Outline: An operator's tools and processes of two versions
    Given what version "<version>" said
    When an operator of this version is shown what its processes hold
    Then the text names each process, its number and its workers
    And this version's processes show every field that those did

    Examples:
      | version    |
      | landing-8  |
      | landing-11 |
