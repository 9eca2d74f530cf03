"""Days drawn by a seed on which one machine is away for many changes and comes back while more are made.

It comes back with its disk, with an empty one, or another machine takes its place; its links break at any
step of what it is sent, a transfer may be damaged, a peer that lags may be the only one that it reaches at
first, and a whole body may take longer on a link than the time between two changes. At every moment the rules
of `consensus_world` hold; CATCH_UP_MS after the last trouble it holds what was chosen by then, and is fresh.

`python3 -m pepperrun.simulation.catch_up_days --seeds 100 [--bug NAME]` plays them.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from pepperrun.consensus.codec import WireMessage
from pepperrun.consensus.messages import Accept, Chosen
from pepperrun.consensus.replica import Replica
from pepperrun.consensus.state import Body
from pepperrun.consensus.timeouts import MS
from pepperrun.foundation.errors import PepperrunError
from pepperrun.simulation.consensus_world import World
from pepperrun.storage.records import BODY_PREFIX
from pepperrun.storage.store import DiskStore

CATCH_UP_MS = 4000
MODES = ("disk", "empty", "new machine")
EARLY_READS = "early-reads"  # a machine that is back takes what its disk holds for the newest
HALF_BODY = "half-body"  # a body is not checked by its digest
BUGS = ("", EARLY_READS, HALF_BODY)


def put_in(bug: str, replica: Replica) -> None:
    """Makes one machine behave so."""
    register: Any = replica.register
    if bug == EARLY_READS:
        replica.reads.confirmed_at = replica.now
    elif bug == HALF_BODY:
        resolve: Callable[[Accept | Chosen], Body | None] = register._resolve_body
        register._resolve_body = lambda message: message.full_body or resolve(message)


class HoardingStore(DiskStore):
    """A bug put in on purpose: bodies that nothing names any more stay on the disk."""

    def save(self, memory: Any) -> None:
        super().save(memory)
        self._saved = {
            key: data for key, data in self._saved.items() if not key.startswith(BODY_PREFIX.encode())
        }


class Day:
    """One of them."""

    def __init__(self, seed: int, bug: str = "") -> None:
        self.rng, self.bug = random.Random(seed), bug
        self.world = World(5, seed)
        self.mode = self.rng.choice(MODES)
        self.edition = self.torn = 0
        self.back = ""

    def play(self) -> str:
        """What went wrong, or nothing."""
        world, rng = self.world, self.rng
        world.run(3000)
        self.change("x" * int(10 ** rng.uniform(2, 5)))
        world.run(1500)
        self.back = rng.choice(sorted(world.machines))
        world.kill(self.back, power=True)
        if self.mode != "disk":
            world.wipe(self.back)
        self.changes(rng.choice([1, 10, 60, 120]), rng.choice([100, 200]))
        lagging = rng.choice([ip for ip in sorted(world.machines) if ip != self.back])
        if rng.random() < 0.5:
            world.cut([lagging])
            self.changes(5, 200)
        if self.mode == "new machine":
            world.machines[self.back].gone = True
            self.back = world.add()
        elif world.cuts:  # at first it reaches nobody but the one that lags
            world.cut([self.back], [ip for ip in world.machines if ip not in (lagging, self.back)])
            world.cuts.discard(frozenset((lagging, self.back)))
        world.rate = rng.choice([0.0, 0.0, 200.0, 1000.0])
        self.start()
        for _ in range(rng.randrange(8)):
            self.changes(rng.randrange(3), 100)
            world.run(rng.choice([1, 20, 100, 300]))
            pairs = [pair for pair in world.links if self.back in pair]
            if pairs and not world.wrong:
                world._break(rng.choice(sorted(pairs)))
        world.heal()
        self.changes(CATCH_UP_MS // 200, 200)
        return world.wrong or self.behind() or self.end()

    def change(self, fill: str = "") -> None:
        """One more, at any machine that runs."""
        up = [ip for ip, one in sorted(self.world.machines.items()) if one.replica and ip != self.back]
        self.edition += 1
        self.world.change(self.edition - 1, self.edition, self.rng.sample(up, len(up)), fill=fill)

    def changes(self, count: int, gap_ms: float) -> None:
        """So many, one after the other."""
        for _ in range(count):
            self.change()
            self.world.run(gap_ms)

    def start(self) -> None:
        """It is back."""
        world, machine = self.world, self.world.machines[self.back]
        world.start(self.back)
        replica: Any = machine.replica
        put_in(self.bug, replica)
        receive = replica.receive

        def damaged(ip: str, message: WireMessage, now: int) -> None:
            if "w" in message and self.rng.random() < 0.2:
                self.torn += 1
                message = message | {"w": dict(list(message["w"].items())[:-1])}
            try:
                receive(ip, message, now)
            except PepperrunError:
                pair = world._pair(ip, self.back)
                if pair in world.links:
                    world._later(0, ("broken", pair, world.links[pair]))

        replica.receive = damaged

    def behind(self) -> str:
        """Has it caught up?"""
        world, replica = self.world, self.world.machines[self.back].replica
        assert replica is not None
        newest = max(one.replica.version for one in world.machines.values() if one.replica)
        if newest - replica.version > 1:
            return f"{self.back} holds {replica.version} of {newest}, {CATCH_UP_MS} ms after its last trouble"
        if replica.confirmed_at is None or world.now - replica.confirmed_at > 1500 * MS:
            return f"{self.back} is not fresh"
        return ""

    def end(self) -> str:
        """Do all agree, without changes?"""
        self.world.rate = 0.0
        self.world.run(8000)
        replica = self.world.machines[self.back].replica
        return self.world.settled() or ("" if replica and replica.is_voter else f"{self.back} does not vote")


def main() -> int:
    """A line for each seed that broke, and one for all."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--bug", choices=BUGS, default="")
    given = parser.parse_args()
    began, broken, modes, torn = time.monotonic(), 0, Counter[str](), 0
    for seed in range(given.first, given.first + given.seeds):
        day = Day(seed, given.bug)
        wrong = day.play()
        modes[day.mode] += 1
        torn += day.torn
        if wrong:
            broken += 1
            print(f"seed={seed} mode={day.mode!r} broken={wrong[:300]!r}", flush=True)
    took = time.monotonic() - began
    print(f"days={given.seeds} broken={broken} took_s={took:.1f} modes={dict(modes)} torn={torn}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
