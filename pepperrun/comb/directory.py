"""The directory: which gatekeepers a client is told, the near ones first, each time begun at another one."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from pepperrun.comb.records import Guard

MOST = 64  # addresses that count
ENOUGH = 2  # ready ones in a client's zone, or else its region, before farther ones are told


def choose(
    guards: Iterable[Guard], zone: str, region: str, regions: Mapping[str, str], seed: int
) -> list[str]:
    """Addresses for a client: of its zone, of its region where these are few, of all where those are few.

    Within each ring they are shuffled by `seed`. Clients pick by chance among all they are told, so that no
    farther ones are told beside enough near ones.
    """
    region = region or regions.get(zone, "")
    rings: tuple[list[str], list[str], list[str]] = ([], [], [])
    for one in guards:
        rings[0 if one.zone == zone else 1 if one.region == region else 2].append(one.counter)
    out: list[str] = []
    mix = random.Random(seed)
    for ring in rings:
        if len(out) >= ENOUGH:
            break
        mix.shuffle(ring)
        out += ring
    return out[:MOST]
