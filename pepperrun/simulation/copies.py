"""Counts copies: which lives have which values on their disks, and what a further loss would leave.

A change of voters has four steps; at each the count of copies is asserted:

| step | a value is chosen when it is synced, body and all, by | named |
| --- | --- | --- |
| before | a majority of the voters | the voters |
| joint | a majority of those before and a majority of those that come | both |
| after | a majority of those that come | those that come |
| left | the same; whoever left is on no list, its disk counts for nothing | those that come |

The ledger is fed by what disks sync and knows nothing of rounds.
"""

from __future__ import annotations

from collections.abc import Iterable, Set

from pepperrun.consensus.state import NO_BALLOT, Ballot, DurableState, Incarnation, Proposal, Value, digest_of


class Copies:
    """A ledger of synced values, over all lives that there ever were."""

    def __init__(self) -> None:
        self.synced: dict[Incarnation, Ballot] = {}
        self.checked: dict[Ballot, str] = {}
        self.counted: set[Ballot] = set()
        self.newest: tuple[Ballot, Value] | None = None
        self.fewest: int | None = None  # copies of a value in one of its sets, when it was known as chosen

    def began(self, first: Proposal) -> None:
        """All first contacts have this one before anything happens."""
        self.synced |= dict.fromkeys(first.value.voters, first.ballot)

    def saved(self, ip: str, memory: DurableState) -> str:
        """A disk has synced that; what is wrong with it, or nothing."""
        held = memory.accepted
        if held is None:
            return ""
        self.synced[Incarnation(ip, memory.disk_id)] = held.ballot
        digest = self.checked.get(held.ballot)
        if digest == held.value.digest:
            return ""
        self.checked[held.ballot] = held.value.digest
        if digest_of(held.body) != held.value.digest:
            return f"{ip} has {held.ballot} on its disk without its body"
        return ""

    def chose(self, held: Proposal) -> str:
        """Somebody knows that as chosen: is it held by enough? What is wrong, or nothing."""
        if held.ballot in self.counted:
            return ""
        self.counted.add(held.ballot)
        if self.newest is None or held.ballot > self.newest[0]:
            self.newest = held.ballot, held.value
        for group in held.value.voter_groups:
            count = len(self.holders(group, held.ballot))
            self.fewest = count if self.fewest is None else min(count, self.fewest)
            if 2 * count <= len(group):
                return f"{held.ballot} is known as chosen with {count} copies among {len(group)} voters"
        return ""

    def holders(self, group: Iterable[Incarnation], ballot: Ballot) -> list[Incarnation]:
        """Lives that have synced that or a later one."""
        return [life for life in group if self.synced.get(life, NO_BALLOT) >= ballot]

    def lacking(self, present: Set[Incarnation]) -> str:
        """Could lives that are there decide without a copy of what was chosen last? Then how, or nothing."""
        if self.newest is None:
            return ""
        ballot, value = self.newest
        for group in value.voter_groups:
            there = [life for life in group if life in present]
            without = len(there) - len(self.holders(there, ballot))
            if 2 * without > len(group):
                return f"{without} of {len(group)} voters of {ballot} are there without a copy of it"
        return ""


def deciding(
    value: Value, present: Set[Incarnation], losses: Iterable[frozenset[str]]
) -> list[frozenset[str]]:
    """Those losses (sets of ips) after which who is there no longer decides."""
    return [lost for lost in losses if not value.has_quorum(life for life in present if life.ip not in lost)]
