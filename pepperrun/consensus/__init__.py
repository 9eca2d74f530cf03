"""Consensus of the control nodes: a CASPaxos register, its durable state and the selection of its voters.

`register` is the proposer, `acceptor` the acceptor and `learner` the learner of one node. `replica` combines
them with quorum reads and voter maintenance. None of them does I/O. `messages` defines the typed messages.
Only `codec` knows the field names that they have on the wire and on the disk.

Times (`now`, `deadline`, names that end in `_at`) are nanoseconds of the monotonic clock of one process.
"""
