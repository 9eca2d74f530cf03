"""Random walks of three registers: orders come while messages are late; histories are judged linearizable.

Drawn days hardly ever deliver a promise after a whole round of another node. Here any message may be as late
as it likes, in the order of its link, and operators send orders at any moment.

`python3 -m pepperrun.simulation.register_walks --walks 2000` plays them.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
from collections import deque
from typing import Any

from pepperrun.consensus.codec import decode, encode
from pepperrun.consensus.register import Phase, Register
from pepperrun.consensus.state import FIRST_DISK_ID, DurableState, InMemoryStore, initial_proposal
from pepperrun.simulation.consensus_world import judge as judge_order
from pepperrun.simulation.control_bugs import EARLY_ROUND, judge_late_orders
from pepperrun.simulation.histories import CallRecord, Replace
from pepperrun.simulation.linearizability import ConfigurationObject, Judgement, Search

NODES = ("a", "b", "c")
OPERATORS = 4
FOREVER = 1 << 60
STEPS = {"deliver": 12, "order": 4, "begin": 6, "late": 1}  # how often each, of all


class Walk:
    """One of them. Time is the number of steps."""

    def __init__(self, seed: int, bug: str = "") -> None:
        self.rng, self.step = random.Random(seed), 0
        self.nodes = {ip: self._node(ip, bug) for ip in NODES}
        self.links: dict[tuple[str, str], deque[dict[str, Any]]] = {}
        self.records: list[CallRecord] = []
        self.waiting: dict[tuple[str, int], CallRecord] = {}  # by node and token
        self.slow = self.rng.choice(NODES)  # what goes there is late
        self.newest = 0  # edition that was acknowledged last, as operators tell each other

    @staticmethod
    def _node(ip: str, bug: str) -> Register:
        memory = DurableState(FIRST_DISK_ID)
        memory.accepted = memory.chosen = initial_proposal(NODES)
        node = Register(ip, memory, InMemoryStore(), judge_order, seed=1, now=0)
        if bug == EARLY_ROUND:
            judge_late_orders(node)
        return node

    def play(self, steps: int) -> Judgement:
        """Walks, delivers the rest, judges."""
        for _ in range(steps):
            self._do(self.rng.choices(list(STEPS), list(STEPS.values()))[0])
        while any(self.links.values()):
            self._do("deliver")
        return Search[ConfigurationObject](self.records).run(ConfigurationObject())

    def _do(self, kind: str) -> None:
        self.step += 1
        ip = self.rng.choice(NODES)
        node = self.nodes[ip]
        if kind == "deliver":
            self._deliver()
        elif kind == "order" and len(self.waiting) < OPERATORS:
            self._order(ip, max(0, self.newest - (self.rng.random() < 0.4)))
        elif kind == "begin" and node.pending:
            if node.phase is Phase.BACKING_OFF:
                node.tick(FOREVER - 1)
            if node.phase is Phase.IDLE:
                node.start_round(0)
        elif kind == "late":
            node.tick(FOREVER - 1)
        for ip in NODES:
            self._collect(ip)

    def _deliver(self) -> None:
        pairs = sorted(pair for pair, queue in self.links.items() if queue)
        quick = [pair for pair in pairs if pair[1] != self.slow]
        if quick and self.rng.random() < 0.9:
            pairs = quick
        if pairs:
            sender, receiver = self.rng.choice(pairs)
            message = self.links[sender, receiver].popleft()
            self.nodes[receiver].receive(sender, decode(json.loads(json.dumps(message))), 0)

    def _order(self, ip: str, on: int) -> None:
        mark, edition = f"m{len(self.records)}", on + 1 + self.rng.randrange(2)
        op = {"mark": mark, "on": on, "edition": edition, "fill": ""}
        record = CallRecord(0, ip, Replace(on, edition, frozenset([(mark, 1.0)])), self.step)
        self.records.append(record)
        self.waiting[ip, self.nodes[ip].submit(op, FOREVER)] = record

    def _collect(self, ip: str) -> None:
        """What a node sends, and what it tells its operators."""
        node = self.nodes[ip]
        node.flush()
        for receiver, message in node.outbox:
            self.links.setdefault((ip, receiver), deque()).append(encode(message))
        node.outbox.clear()
        for result in node.results:
            record = self.waiting.pop((ip, result.token))
            record.answered_at, record.status = self.step, result.verdict
            if result.verdict == 200 and isinstance(record.operation, Replace):
                self.newest = max(self.newest, record.operation.edition)
                self._follow_up()
        node.results.clear()

    def _follow_up(self) -> None:
        """Who was told at once goes on, at a node whose round asks already."""
        asking = [ip for ip, node in self.nodes.items() if node.phase is Phase.PREPARING]
        if asking and self.rng.random() < 0.5:
            self._order(self.rng.choice(asking), self.newest)


def main() -> int:
    """A line for each walk that broke, and one for all."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--walks", type=int, default=2000)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--steps", type=int, default=300)
    parser.add_argument("--bug", choices=("", EARLY_ROUND), default="", help="put in on purpose")
    given = parser.parse_args()
    linear = answered = 0
    for seed in range(given.first, given.first + given.walks):
        walk = Walk(seed, given.bug)
        found = walk.play(given.steps)
        linear += found.linearizable
        answered += sum(record.clear for record in walk.records)
        if not found.linearizable:
            print(f"seed={seed} {'not linearizable' if found.decided else 'undecided'}")
    print(f"walks={given.walks} linearizable={linear} answered_orders={answered}")
    return int(linear < given.walks)


if __name__ == "__main__":
    sys.exit(main())
