"""Days of distribution drawn by a seed: machines cut off, frozen, started anew while numbers and beats come.

At every moment nobody may claim to be fresher than it is, nor go back; at the end all hold the newest number,
alike records, and know it to be fresh.

`python3 -m pepperrun.simulation.distribution_days --seeds 200` plays them.
"""

from __future__ import annotations

import argparse
import random
import time
from collections import Counter

from pepperrun.control.records import WorkerState
from pepperrun.simulation.distribution_world import World

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
CORES = ["a1", "a2", "b1", "b2", "c1"]
TROUBLES = (
    "cut",
    "cut",
    "lone",
    "heal",
    "freeze",
    "restart",
    "change",
    "change",
    "change",
    "worker",
    "worker",
)
FRESH_MS = 1500.0  # once all is well: two ticks and what the core needs


class Day:
    """One of them."""

    def __init__(self, seed: int) -> None:
        self.dice = random.Random(seed)
        self.world = World(seed, ZONES, CORES)
        self.kinds: Counter[str] = Counter()
        self.serial = 0
        for zone in ZONES:
            for _ in range(self.dice.randrange(1, 5)):
                self.world.gate(len(self.world.gates), zone)

    def play(self, troubles: int = 120) -> str:
        """What went wrong, or nothing."""
        world, dice = self.world, self.dice
        world.change()
        world.run(dice.randrange(50, 3000))
        try:
            for _ in range(troubles):
                self._trouble(dice.choice(TROUBLES))
                world.run(dice.randrange(5, 400))
                world.check()
            world.cuts.clear()
            for node in [*world.control_nodes, *world.gates]:
                world.wake(node)
            number = world.change()
            world.run(8000)
            world.check()
        except AssertionError as error:
            return f"{error}"
        return self._end(number)

    def _trouble(self, kind: str) -> None:
        world, dice = self.world, self.dice
        self.kinds[kind] += 1
        nodes = [*world.control_nodes, *world.gates]
        one, other = dice.sample(nodes, 2)
        if kind == "cut":
            world.cut_off(one, [other])
        elif kind == "lone":
            world.cut_off(one, dice.sample(nodes, len(nodes) // 2))
        elif kind == "heal":
            world.cuts.clear()
        elif kind == "freeze":
            world.stop(one, dice.randrange(100, 3000))
        elif kind == "restart":
            world.restart(dice.choice(world.gates), dice.randrange(1, 1000))
        elif kind == "worker":
            self.serial += 1
            state = dice.choice([WorkerState.SERVING, WorkerState.SERVING, WorkerState.DRAINING])
            at = dice.choice(world.control_nodes)
            world.worker(f"w{dice.randrange(30)}", dice.choice(list(ZONES)), self.serial, state, at)
        elif any(map(world.majority, world.control_nodes)):
            world.change(whole=dice.random() < 0.3)

    def _end(self, number: int) -> str:
        world = self.world
        if lagging := world.lags(number):
            return f"{lagging[0].station} lacks {number}"
        for gate in world.gates:
            cells = (gate.clock() - gate.replicated.records_confirmed_at) / 1e6
            if max(gate.age_ms(), cells) > FRESH_MS:
                return f"{gate.station} knows its news to be {gate.age_ms():.0f} and {cells:.0f} ms old"
            said = gate.follower.control_node.sent_record
            known = [control_node.replicated.gateways[gate.station] for control_node in world.control_nodes]
            if any(record != said for record in known):
                return f"{gate.station} is not known as it is"
        books = [control_node.replicated for control_node in world.control_nodes] + [
            gate.replicated for gate in world.gates
        ]
        if len({book.digests.total_digest() for book in books}) > 1:
            return "records differ"
        return ""


def main() -> None:
    """A line for each seed that broke, and one for all."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--troubles", type=int, default=120)
    given = parser.parse_args()
    began, kinds, broken = time.monotonic(), Counter[str](), 0
    for seed in range(given.first, given.first + given.seeds):
        day = Day(seed)
        wrong = day.play(given.troubles)
        kinds += day.kinds
        if wrong:
            broken += 1
            print(f"seed={seed} broken={wrong!r}")
    print(f"days={given.seeds} broken={broken} took_s={time.monotonic() - began:.1f} troubles={dict(kinds)}")


if __name__ == "__main__":
    main()
