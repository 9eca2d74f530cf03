"""Searches what can befall the agreement: orders of messages, late rounds, restarts, lost disks, new voters.

`order_world` says what may happen, `order_plans` has the changes of voters and the bugs put in on purpose.

`python3 -m pepperrun.simulation.orders --help` runs it.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
from functools import partial

from pepperrun.consensus.register import Phase
from pepperrun.consensus.state import Incarnation, Value
from pepperrun.consensus.timeouts import MS
from pepperrun.simulation.explorer import Action, Found, Game
from pepperrun.simulation.order_plans import BUGS, change
from pepperrun.simulation.order_world import Rules, World, act, actions, begun

__all__ = ["Rules", "World", "search", "walk"]

SETTLES_IN = 600  # steps of a fair run, from any state that was reached
DELIVERED = 0.8  # of the steps of a walk


def search(rules: Rules, depth: int = 60, most: int = 50_000, settle_each: int = 0, seed: int = 1) -> Found:
    """Over all that may happen, in an order that the seed draws; `Game.search` tells of the figures.

    A run without faults has to end with all in agreement and with all that was acknowledged.
    """
    return Game(lambda: begun(rules), actions, act, settle).search(depth, most, settle_each, seed)


def walk(rules: Rules, walks: int, depth: int = 60, seed: int = 1) -> Found:
    """As many walks by chance, each to the end of what may happen, and from there a run without faults.

    Where the whole can't be searched these reach other parts of it than depth first does.
    """
    found, seen, rng = Found(whole=False), set[int](), random.Random(seed)
    for _ in range(walks):
        world, trace = begun(rules), list[Action]()
        while len(trace) < depth and (possible := sorted(actions(world), key=repr)):
            # Else the rounds and faults would all come at the beginning, or hardly ever.
            kinds = sorted({action[0] for action in possible})
            kind = "deliver" if "deliver" in kinds and rng.random() < DELIVERED else rng.choice(kinds)
            action = rng.choice([one for one in possible if one[0] == kind])
            trace.append(action)
            found.broken = act(world, action)
            if found.broken:
                found.states, found.trace = len(seen), trace
                return found
            key = world.key()
            found.again += key in seen
            seen.add(key)
        found.states, found.deepest = len(seen), max(found.deepest, len(trace))
        found.settled += 1
        found.broken = settle(world, rng)
        if found.broken:
            found.trace = trace
            return found
    return found


def settle(world: World, rng: random.Random) -> str:
    """All that is on its way arrives, lost disks are let in: do all agree in the end on all that was told?"""
    keeper = min(world.newest().value.voter_ips & set(world.machines))
    for _ in range(SETTLES_IN):
        if world.sent:
            wrong = act(world, ("deliver", rng.choice(sorted(world.sent))))
        else:
            wrong = _go_on(world, keeper)
            if wrong == "settled":
                marks = world.newest().body.get("m", [])
                lost = [one for one in world.told if one not in marks]
                return f"acknowledged and lost: {lost}" if lost else ""
        if wrong:
            return wrong
    held = [(ip, one.chosen_ballot, one.phase) for ip, one in world.machines.items()]
    return f"no agreement after {SETTLES_IN} steps without a fault: {held}"


def _go_on(world: World, keeper: str) -> str:
    """Nothing is on its way: rounds try again, who lacks what is chosen asks, the keeper lets in who came."""
    one = world.machines[keeper]
    ahead = max(world.machines.values(), key=lambda two: two.chosen_ballot)
    for other in world.machines.values():
        if other.phase is not Phase.IDLE:
            world.now = max(world.now, other.phase_ends_at)
            other.tick(world.now)
            if other.chosen_ballot < ahead.chosen_ballot:  # else it may ask for ever those who have gone
                other.request_catch_up(ahead.own_ip)
            if other.pending:
                other.start_round(world.now)
            return world.collect()
    world.now += 1000 * MS
    for other in world.machines.values():
        if other.chosen_ballot < ahead.chosen_ballot:
            other.now = world.now
            other.request_catch_up(ahead.own_ip)
            return world.collect()
    assert one.state.chosen is not None
    value = one.state.chosen.value
    lives = _lives(world, value)
    if lives != value.voters or value.outgoing_voters:
        one.plan_voters = partial(change, lives)
        one.start_round(world.now)
        return world.collect()
    behind = [
        two
        for two in world.machines.values()
        if two.accepted_ballot > one.chosen_ballot and two.incarnation in lives
    ]
    if behind:
        behind[0].start_round(world.now)
        return world.collect()
    return "settled"


def _lives(world: World, value: Value) -> tuple[Incarnation, ...]:
    """The voters that there should be: present lives, a spare for who is gone, else who was named."""
    spares = [one.incarnation for ip, one in sorted(world.machines.items()) if ip not in value.voter_ips]
    lives = []
    for voter in value.voters:
        machine = world.machines.get(voter.ip)
        if machine is not None:
            lives.append(machine.incarnation)
        else:
            lives.append(spares.pop() if spares else voter)
    return tuple(lives)


def worded(action: Action) -> str:
    """For people."""
    return " ".join(str(part) for part in action)


def arguments(parser: argparse.ArgumentParser) -> None:
    """What may be said of a search."""
    for name, default in (
        ("voters", 3),
        ("spares", 0),
        ("rounds", 2),
        ("restarts", 0),
        ("wipes", 1),
        ("leaves", 0),
    ):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--at-once", type=int, default=1, help="voters that may be lost at a time")
    parser.add_argument("--outcome-only", action="store_true", help="count no copies")
    parser.add_argument("--bug", choices=BUGS, default="")
    parser.add_argument("--depth", type=int, default=60)
    parser.add_argument("--most", type=int, default=50_000, help="states of one search")
    parser.add_argument("--settle-each", type=int, default=500)
    parser.add_argument("--walks", type=int, default=0, help="walks by chance instead, so many")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])


def explore(given: argparse.Namespace) -> int:
    """The search of the agreement; a line for each seed, and how it broke."""
    broken = 0
    rules = Rules(
        *(given.voters, given.spares, given.rounds, given.restarts, given.wipes, given.bug),
        *(given.leaves, given.at_once, not given.outcome_only),
    )
    for seed in given.seeds:
        began = time.monotonic()
        if given.walks:
            found = walk(rules, given.walks, given.depth, seed)
        else:
            found = search(rules, given.depth, given.most, given.settle_each, seed)
        print(
            f"seed={seed} states={found.states} again={found.again} deepest={found.deepest}"
            f" whole={found.whole} settled={found.settled} took_s={time.monotonic() - began:.1f}"
            f" broken={json.dumps(found.broken)}"
        )
        for action in found.trace:
            print("   ", worded(action))
        broken += bool(found.broken)
    return 1 if broken else 0


def main() -> int:
    """The search from the command line."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    arguments(parser)
    return explore(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
