"""A lab: many real processes, a network that is broken on purpose, and checkers of what came of it."""
