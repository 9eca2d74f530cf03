"""Consensus of the control nodes: a CASPaxos register, its durable state and the choice of its voters.

`register` proposes, `acceptor` promises and accepts, `learner` knows what is chosen; `replica` adds quorum
reads and the upkeep of the voters. None of them does I/O. `messages` are their typed messages and `codec`
alone knows the words that these have on the wire and on the disk.

Times (`now`, `deadline`, names that end in `_at`) are nanoseconds of the steady clock of one process.
"""
