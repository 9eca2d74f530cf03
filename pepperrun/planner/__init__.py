"""The capacity planner: what breaks first, how many nodes a goal needs, what the loss of a zone does."""
