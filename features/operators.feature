Feature: Operators change the configuration
  Three core machines agree. Operators call any of them, and what is refused is told in one sentence.

  Background:
    Given three core machines that hold edition 5

  Scenario: Two operators build on the same edition at once
    When one puts edition 7 at the first machine and another puts edition 8 at the second, both on top of 5
    Then one gets 200 and the other 412
    And each machine reads the edition of the one who got 200
    And the one who got 200 gets 200 again for the same call, at each machine
    And the other gets 412 again

  Scenario: A repeat after later changes is still told that it was taken
    When editions 6, 7 and 9 are put, each on top of the one before
    And the call of edition 6 is repeated at the third machine
    Then the answer is 200
    And each machine reads edition 9

  Scenario Outline: What is invalid is refused in one sentence that names the item
    When edition 7 is put on top of 5, and <what>
    Then the answer is 400 with one sentence that names <item>
    And the check of the file tells the same sentence
    And each machine reads edition 5

    Examples:
      | what                                     | item    |
      | a route names an unknown service         | r-one   |
      | a route's shares add up to 0             | r-two   |
      | a deadline is 0                          | r-one   |
      | a deadline is over ten minutes           | r-one   |
      | a prefix begins with no slash            | r-one   |
      | a depot is empty                         | r-one   |
      | two tenants share a key                  | ann     |
      | a route is there twice                   | r-one   |
      | a row is too short                       | r-one   |
      | it is cut short                          | body    |

  Scenario: An edition that is not above the current one is refused
    When edition 5 with other limits is put on top of 5
    Then the answer is 400 with one sentence that names 5

  Scenario: A change that leaves a route without its service is refused
    When service ant is withdrawn on top of 5
    Then the answer is 400 with one sentence that names r-one
    And each machine reads edition 5

  Scenario: A check of a file tells every problem, not only the first
    When a file has three problems in three items
    Then the check tells three sentences, one for each item
