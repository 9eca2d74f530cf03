"""Selection of the voters: replaces lost machines and spreads the voters over regions. Pure functions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Set
from typing import NamedTuple

from pepperrun.consensus.state import Incarnation, Value


class FailureDomain(NamedTuple):
    """Region and zone of a machine; both empty while unknown."""

    region: str
    zone: str


UNKNOWN_DOMAIN = FailureDomain("", "")

Domains = Mapping[str, FailureDomain]  # by ip
DiskIds = dict[str, str]  # by ip; empty while the machine has not reported it


def select_voters(
    value: Value, alive: Mapping[str, str], lost: Set[str], domains: Domains, max_voters: int
) -> tuple[Incarnation, ...]:
    """Return the voters that `value` should have; the same object `value.voters` if they need no change.

    There are never fewer voters than before: a lost voter stays until another machine can replace it. A
    machine that lost its disk replaces its previous incarnation.

    Parameters
    ----------
    alive : mapping of str to str
        Disk id by ip of the machines that are alive; empty while unknown.
    lost : set of str
        Ips of machines that have timed out or are shutting down.
    max_voters : int
        Largest number of voters; odd.
    """
    voters = {voter.ip: voter.disk_id for voter in value.voters}
    new_voters = {
        ip: alive.get(ip) or disk_id for ip, disk_id in voters.items() if ip in alive or ip not in lost
    }
    lost_voters = {ip: disk_id for ip, disk_id in voters.items() if ip not in new_voters}
    spares = {ip: disk_id for ip, disk_id in alive.items() if disk_id and ip not in voters}
    target_size = max(len(voters), _round_down_to_odd(min(max_voters, len(new_voters) + len(spares))))
    while len(new_voters) < target_size and spares:
        ip = _least_represented(spares, new_voters, domains)
        new_voters[ip] = spares.pop(ip)
    for ip in sorted(lost_voters)[: target_size - len(new_voters)]:
        new_voters[ip] = lost_voters[ip]
    _balance_regions(new_voters, spares, value.coordinator, domains)
    selected = tuple(Incarnation(ip, new_voters[ip]) for ip in sorted(new_voters))
    return value.voters if set(selected) == set(value.voters) else selected


def _round_down_to_odd(count: int) -> int:
    """Reduce an even number of voters by one, which tolerates as many failures."""
    return count if count % 2 else count - 1


def _domain(ip: str, domains: Domains) -> FailureDomain:
    return domains.get(ip, UNKNOWN_DOMAIN)


def _least_represented(spares: Mapping[str, str], new_voters: Mapping[str, str], domains: Domains) -> str:
    """Return the spare machine whose region, then whose zone, has the fewest voters."""
    regions = Counter(_domain(ip, domains).region for ip in new_voters)
    zones = Counter(_domain(ip, domains) for ip in new_voters)

    def sort_key(ip: str) -> tuple[int, int, str]:
        domain = _domain(ip, domains)
        return regions[domain.region], zones[domain], ip

    return min(spares, key=sort_key)


def _balance_regions(
    new_voters: DiskIds, spares: Mapping[str, str], coordinator: str, domains: Domains
) -> None:
    """Move one voter out of a region that has a majority, so that the loss of a region is tolerated."""
    regions = Counter(_domain(ip, domains).region for ip in new_voters)
    largest, count = regions.most_common(1)[0]
    if 2 * count <= len(new_voters):
        return
    # The target region must end up with fewer voters than the largest one has now. Otherwise, with only two
    # regions, the majority would shift to the other region and back for ever.
    incoming_candidates = {
        ip: disk_id for ip, disk_id in spares.items() if regions[_domain(ip, domains).region] + 1 < count
    }
    outgoing_candidates = [
        ip for ip in new_voters if _domain(ip, domains).region == largest and ip != coordinator
    ]
    if incoming_candidates and outgoing_candidates:
        del new_voters[max(outgoing_candidates)]
        incoming = _least_represented(incoming_candidates, new_voters, domains)
        new_voters[incoming] = incoming_candidates[incoming]


def successors(value: Value, alive: Set[str]) -> list[str]:
    """Return the ips of voters that are alive, in the order in which they succeed the coordinator."""
    ips = sorted({voter.ip for voter in value.voters})
    after = [ip for ip in ips if ip > value.coordinator]
    before = [ip for ip in ips if ip < value.coordinator]
    return [ip for ip in after + before if ip in alive]
