"""Self-suspicion: after a stall or many failed probes, this member may be the unreachable one. No I/O."""

from __future__ import annotations

import random

from pepperrun.membership.links import Links
from pepperrun.membership.probing import Prober
from pepperrun.membership.records import MemberTable
from pepperrun.membership.wire import State

# Consecutive failed probes, over at least as many periods, that may show that this member is unreachable.
FAILURES_BEFORE_SELF_SUSPICION = 4


class SelfSuspicion:
    """While `active`, this member may be the unreachable one; it ends when another member replies."""

    def __init__(
        self, table: MemberTable, links: Links, prober: Prober, rng: random.Random, period_ns: int
    ) -> None:
        self.table, self.links, self.prober, self.rng = table, links, prober, rng
        self.period_ns = period_ns
        self.active = False

    def on_stall(self) -> None:
        """Starts self-suspicion after a stall of this process, if there is another member to probe."""
        self.active = len(self.table.others_in(State.ALIVE, State.SUSPECT, State.DEAD)) > 0

    def on_probe_failed(self, now: int) -> bool:
        """Counts a failed probe. Returns whether self-suspicion begins with it.

        After several in a row, members that seem reachable are probed before this member suspects itself.
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
