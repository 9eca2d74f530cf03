"""Which machines should vote: lost ones give their places away, regions get even shares. Pure functions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Set
from typing import NamedTuple

from pepperrun.consensus.state import Incarnation, Value


class FailureDomain(NamedTuple):
    """Region and zone of a machine; both empty while not known."""

    region: str
    zone: str


UNKNOWN_DOMAIN = FailureDomain("", "")

Domains = Mapping[str, FailureDomain]  # by ip
DiskIds = dict[str, str]  # by ip; empty while the machine has not given it


def select_voters(
    value: Value, alive: Mapping[str, str], lost: Set[str], domains: Domains, max_voters: int
) -> tuple[Incarnation, ...]:
    """Return the voters as they should be: those of `value`, the same object, where nothing is to be changed.

    There are never fewer than before: a lost voter stays named until another machine is there. A machine with
    an empty disk comes in for its former incarnation.

    Parameters
    ----------
    alive : mapping of str to str
        Disk id by ip, empty while not known.
    lost : set of str
        Ips of voters without a message for long.
    max_voters : int
        Odd.
    """
    voters = {voter.ip: voter.disk_id for voter in value.voters}
    stay = {ip: alive.get(ip) or disk_id for ip, disk_id in voters.items() if ip in alive or ip not in lost}
    gone = {ip: disk_id for ip, disk_id in voters.items() if ip not in stay}
    spare = {ip: disk_id for ip, disk_id in alive.items() if disk_id and ip not in voters}
    size = max(len(voters), _round_down_to_odd(min(max_voters, len(stay) + len(spare))))
    while len(stay) < size and spare:
        ip = _least_crowded(spare, stay, domains)
        stay[ip] = spare.pop(ip)
    for ip in sorted(gone)[: size - len(stay)]:
        stay[ip] = gone[ip]
    _balance_regions(stay, spare, value.coordinator, domains)
    selected = tuple(Incarnation(ip, stay[ip]) for ip in sorted(stay))
    return value.voters if set(selected) == set(value.voters) else selected


def _round_down_to_odd(count: int) -> int:
    """Leave out one of an even number of voters: that bears as many losses."""
    return count if count % 2 else count - 1


def _domain(ip: str, domains: Domains) -> FailureDomain:
    return domains.get(ip, UNKNOWN_DOMAIN)


def _least_crowded(spare: Mapping[str, str], stay: Mapping[str, str], domains: Domains) -> str:
    """Return the spare machine whose region, then whose zone, has the fewest voters."""
    regions = Counter(_domain(ip, domains).region for ip in stay)
    zones = Counter(_domain(ip, domains) for ip in stay)

    def crowding(ip: str) -> tuple[int, int, str]:
        domain = _domain(ip, domains)
        return regions[domain.region], zones[domain], ip

    return min(spare, key=crowding)


def _balance_regions(stay: DiskIds, spare: Mapping[str, str], coordinator: str, domains: Domains) -> None:
    """Move one voter out of a region that holds a majority, so that the loss of a region can be borne."""
    regions = Counter(_domain(ip, domains).region for ip in stay)
    fullest, count = regions.most_common(1)[0]
    if 2 * count <= len(stay):
        return
    # Two regions alone can't be balanced: the other one would hold the majority then, and so on for ever.
    elsewhere = {
        ip: disk_id for ip, disk_id in spare.items() if regions[_domain(ip, domains).region] + 1 < count
    }
    movable = [ip for ip in stay if _domain(ip, domains).region == fullest and ip != coordinator]
    if elsewhere and movable:
        del stay[max(movable)]
        incoming = _least_crowded(elsewhere, stay, domains)
        stay[incoming] = elsewhere[incoming]


def successors(value: Value, alive: Set[str]) -> list[str]:
    """Return the ips of voters that are alive, in the order in which they succeed the coordinator."""
    ips = sorted({voter.ip for voter in value.voters})
    after = [ip for ip in ips if ip > value.coordinator]
    before = [ip for ip in ips if ip < value.coordinator]
    return [ip for ip in after + before if ip in alive]
