"""Does this member hear the others? After a standstill, or many probes in vain, it doubts itself. No I/O."""

from __future__ import annotations

import random

from pepperrun.membership.links import Links
from pepperrun.membership.probing import Prober
from pepperrun.membership.records import MemberTable
from pepperrun.membership.wire import State

FAILURES_BEFORE_SELF_SUSPICION = (
    4  # probes in a row to nothing, over as many periods: it may be this one that is not heard
)


class SelfSuspicion:
    """`doubts`: it may be this one that is not heard, until another member answers."""

    def __init__(
        self, table: MemberTable, links: Links, prober: Prober, rng: random.Random, period_ns: int
    ) -> None:
        self.table, self.links, self.prober, self.rng = table, links, prober, rng
        self.period_ns = period_ns
        self.active = False

    def on_stall(self) -> None:
        """This process stood still: it doubts itself if there is anyone to ask."""
        self.active = len(self.table.others_in(State.ALIVE, State.SUSPECT, State.DEAD)) > 0

    def on_probe_failed(self, now: int) -> bool:
        """Many probes in a row came to nothing: those that seem well are asked before it doubts itself.

        True where the doubt begins.
        """
        failed = self.prober.consecutive_failures = self.prober.consecutive_failures + 1
        reachable = [
            member for member in self.table.others_in(State.ALIVE) if member not in self.links.unreachable
        ]
        if failed == FAILURES_BEFORE_SELF_SUSPICION:
            for member in self.rng.sample(reachable, min(len(reachable), FAILURES_BEFORE_SELF_SUSPICION)):
                if not self.prober.is_probing(member):
                    self.prober.start_probe(member, now)
        if (
            self.active
            or failed < FAILURES_BEFORE_SELF_SUSPICION
            or (reachable and failed < 2 * FAILURES_BEFORE_SELF_SUSPICION)
        ):
            return False
        self.active = now - self.prober.last_ack_at >= FAILURES_BEFORE_SELF_SUSPICION * self.period_ns
        return self.active
