"""Days of the core drawn by a seed: operators race, machines are killed, frozen, cut off, replaced.

Never more disks are lost than may be: one, or `--lost` at once, and the next only after all machines that
vote are lives that are there. Everything else comes as it likes, all dark at once included.

`python3 -m pepperrun.simulation.consensus_days --seeds 200` plays them.
"""

from __future__ import annotations

import argparse
import random
import time
from collections import Counter

from pepperrun.simulation.consensus_world import World

TROUBLES = ("kill", "power", "wipe", "freeze", "cut", "herd", "dark", "replace", "race", "retire", "roll")


def readmitted(world: World) -> bool:
    """Do all that vote by the newest value run in the life that it names? Then another disk may be lost."""
    values = [one.replica.value for one in world.machines.values() if one.replica and one.replica.value]
    if not values:
        return False
    newest = max(values, key=lambda value: value.version)
    holders = [value for value in values if value == newest]
    if newest.outgoing_voters or 2 * len(holders) <= len(values):
        return False
    for voter in newest.voters:
        replica = world.machines[voter.ip].replica
        if replica is None or replica.register.state.disk_id != voter.disk_id:
            return False
    return True


class Day:
    """One of them."""

    def __init__(
        self, seed: int, late_disks: bool = False, machines: int = 5, most: int = 5, lost: int = 1
    ) -> None:
        self.rng = random.Random(seed)
        self.machines, self.lost = machines, lost
        self.world = World(machines, seed, most=most, late_disks=late_disks)
        self.kinds: Counter[str] = Counter()
        self.edition = 0

    def play(self, troubles: int = 8) -> str:
        """What went wrong, or nothing."""
        world = self.world
        world.run(self.rng.uniform(200, 3000))
        for _ in range(troubles):
            self._operate()
            self._trouble(self.rng.choice(TROUBLES))
            self._operate()
            world.run(self.rng.choice([1, 60, 200, 700, 2500, 5000]) * self.rng.uniform(0.5, 1))
            if self.rng.random() < 0.6:
                self._mend()
                world.run(self.rng.choice([100, 1000, 4000]))
        self._mend()
        world.run(9000)
        last = world.change(self._newest(), self._next(), self._ips())
        world.run(4000)
        if world.wrong:
            return world.wrong
        return world.settled() or ("" if last.answer == 200 else f"the last change got {last.answer}")

    def _ips(self) -> list[str]:
        ips = [ip for ip, one in self.world.machines.items() if not one.gone]
        return self.rng.sample(ips, len(ips))

    def _next(self) -> int:
        self.edition += self.rng.randint(1, 3)
        return self.edition

    def _newest(self) -> int:
        bodies = [one.replica.body for one in self.world.machines.values() if one.replica]
        return max((body.get("edition", 0) for body in bodies), default=0)

    def _operate(self) -> None:
        if self.rng.random() < 0.7:
            self.world.change(self._newest(), self._next(), self._ips())

    def _trouble(self, kind: str) -> None:
        world, ips = self.world, self._ips()
        self.kinds[kind] += 1
        if kind in ("wipe", "replace") and not readmitted(world):
            return
        if kind == "kill":
            world.kill(ips[0])
        elif kind == "power":
            for ip in ips[:2]:
                world.kill(ip, power=True)
        elif kind == "wipe":
            for ip in ips[: self.rng.choice([1, len(ips)])]:
                world.kill(ip, power=True)
            for ip in ips[: self.rng.randint(1, self.lost)]:
                if world.machines[ip].replica is not None:
                    world.kill(ip, power=True)
                world.wipe(ip)
        elif kind == "freeze":
            for ip in ips[: self.rng.randint(1, 2)]:
                world.freeze(ip)
        elif kind == "cut":
            world.cut(ips[: self.rng.randint(1, 3)])
        elif kind in ("herd", "dark"):
            for ip in ips:
                world.kill(ip, power=kind == "dark")
        elif kind == "replace" and len(world.machines) < self.machines + 4:
            world.wipe(ips[0])
            world.machines[ips[0]].gone = True
            world.start(world.add())
        elif kind == "race":
            on = self._newest()
            for at in range(2):
                world.change(on, self._next(), ips[at:] + ips[:at])
        elif kind == "roll":
            for ip in ips:
                if world.machines[ip].replica is not None and not world.machines[ip].frozen:
                    world.retire(ip)
                    self._operate()
                    world.run(1000)
                    world.start(ip)
        elif kind == "retire":
            for one in world.machines.values():
                if one.replica is not None and not one.frozen:
                    world.retire(one.ip)
                    break

    def _mend(self) -> None:
        world = self.world
        for ip, one in list(world.machines.items()):
            if one.gone:
                continue
            if one.replica is None:
                world.start(ip)
            elif one.frozen:
                world.thaw(ip)
        world.heal()


def main() -> None:
    """A line for each seed that broke, and one for all."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--troubles", type=int, default=8)
    parser.add_argument("--machines", type=int, default=5)
    parser.add_argument("--most", type=int, default=5, help="of them vote")
    parser.add_argument("--lost", type=int, default=1, help="disks that may be lost at once")
    parser.add_argument("--late-disks", action="store_true", help="a bug put in on purpose")
    given = parser.parse_args()
    began, kinds, broken, tries = time.monotonic(), Counter[str](), 0, Counter[str]()
    for seed in range(given.first, given.first + given.seeds):
        day = Day(seed, given.late_disks, given.machines, given.most, given.lost)
        wrong = day.play(given.troubles)
        kinds += day.kinds
        tries += Counter(str(one.answer) for one in day.world.tries)
        if wrong:
            broken += 1
            print(f"seed={seed} broken={wrong!r}")
    took = time.monotonic() - began
    print(
        f"days={given.seeds} broken={broken} took_s={took:.1f} answers={dict(tries)} troubles={dict(kinds)}"
    )


if __name__ == "__main__":
    main()
