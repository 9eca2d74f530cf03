"""Which machines should vote: lost ones give their places away, regions get even shares. Pure functions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Set

from pepperrun.consensus.values import Life, Value


def wanted(
    value: Value, up: Mapping[str, str], lost: Set[str], places: Mapping[str, tuple[str, str]], most: int
) -> tuple[Life, ...]:
    """The voters as they should be, those of `value` where nothing is to be bettered.

    `up`: life by ip, empty while it has not told; `lost`: voters that have been silent for long; `places`:
    region and zone by ip; `most`: voters at most. A machine with an empty disk comes in for its life before.
    There are never fewer than before: who is lost stays named until another is there.
    """
    voters = {one.ip: one.life for one in value.voters}
    stay = {ip: up.get(ip) or life for ip, life in voters.items() if ip in up or ip not in lost}
    gone = {ip: life for ip, life in voters.items() if ip not in stay}
    spare = {ip: life for ip, life in up.items() if life and ip not in voters}
    size = max(len(voters), _odd(min(most, len(stay) + len(spare))))
    while len(stay) < size and spare:
        ip = _emptiest(spare, stay, places)
        stay[ip] = spare.pop(ip)
    for ip in sorted(gone)[: size - len(stay)]:
        stay[ip] = gone[ip]
    _even(stay, spare, value.keeper, places)
    made = tuple(Life(ip, stay[ip]) for ip in sorted(stay))
    return value.voters if set(made) == set(value.voters) else made


def _odd(number: int) -> int:
    """An even number of voters bears no more losses than one less."""
    return number if number % 2 else number - 1


def _emptiest(
    spare: Mapping[str, str], stay: Mapping[str, str], places: Mapping[str, tuple[str, str]]
) -> str:
    """The machine whose region, then whose zone, has the fewest voters."""
    regions = Counter(places.get(ip, ("", ""))[0] for ip in stay)
    zones = Counter(places.get(ip, ("", "")) for ip in stay)
    return min(spare, key=lambda ip: (regions[_region(ip, places)], zones[places.get(ip, ("", ""))], ip))


def _region(ip: str, places: Mapping[str, tuple[str, str]]) -> str:
    return places.get(ip, ("", ""))[0]


def _even(
    stay: dict[str, str], spare: Mapping[str, str], keeper: str, places: Mapping[str, tuple[str, str]]
) -> None:
    """No region that may be lost should hold a majority: one of its voters gives its place away."""
    regions = Counter(_region(ip, places) for ip in stay)
    full, count = regions.most_common(1)[0]
    if 2 * count <= len(stay):
        return
    # Two regions alone can't be made even: then it would only be the other's majority, and so on for ever.
    elsewhere = {ip: life for ip, life in spare.items() if regions[_region(ip, places)] + 1 < count}
    out = [ip for ip in stay if _region(ip, places) == full and ip != keeper]
    if elsewhere and out:
        del stay[max(out)]
        comes = _emptiest(elsewhere, stay, places)
        stay[comes] = elsewhere[comes]


def successors(value: Value, up: Set[str]) -> list[str]:
    """Machines that vote and are up, in the order in which they follow the keeper."""
    ips = sorted({one.ip for one in value.voters})
    after = [ip for ip in ips if ip > value.keeper] + [ip for ip in ips if ip < value.keeper]
    return [ip for ip in after if ip in up]
