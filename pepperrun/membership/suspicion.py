"""Suspicion time-outs: which members verify a suspicion, and when it becomes a death. Does no I/O.

| what is known of the suspected member | declared dead after |
| --- | --- |
| REQUIRED_CONFIRMATIONS of the alive members, or all if fewer, confirm it | the minimum time |
| fewer confirm it | up to MAX_TIMEOUT_FACTOR times the minimum, times 1 plus the local health score |
| no other member is left to confirm it | about half of the maximum: this member may be the faulty one |
| another member has declared it dead | the minimum time: it may not have received the suspicion |
| it is still heard from here | not before the maximum: it may be slow, or not receive the suspicion |

The time that a reply from the suspected member may take is added to each.
"""

from __future__ import annotations

import math

from pepperrun.membership.probing import Prober
from pepperrun.membership.records import MemberTable, Record
from pepperrun.membership.views import RECHECK_NS
from pepperrun.membership.wire import State

WATCHERS = 4  # ring predecessors that probe a suspected member themselves
REQUIRED_CONFIRMATIONS = 3  # with this many, this member's own included, the minimum time applies
MAX_TIMEOUT_FACTOR = 6  # maximum of a suspicion that no other member confirms, in minimum times


class SuspicionTimers:
    """Suspicion time-outs of the suspected members of a table."""

    def __init__(self, table: MemberTable, prober: Prober, min_suspicion_ns: int) -> None:
        self.table, self.prober, self.min_suspicion_ns = table, prober, min_suspicion_ns
        # Generation and incarnation of each suspected member that this one has probed.
        self.verified: dict[int, tuple[int, int]] = {}

    def required_confirmations(self) -> int:
        """How many members besides the first must confirm a suspicion for the minimum time to apply."""
        return max(0, min(REQUIRED_CONFIRMATIONS, len(self.table.others_in(State.ALIVE)) + 1) - 1)

    def expires_at(self, record: Record) -> int:
        """When a suspected member that is not heard from is declared dead, in ns."""
        min_timeout, confirmations, required = (
            self.min_suspicion_ns,
            len(record.suspicion_reporters) - 1,
            self.required_confirmations(),
        )
        answer_time = self.prober.base_timeout(record.member)
        if record.reported_dead:
            return record.since + min_timeout + answer_time
        progress = math.log(confirmations + 1) / math.log(required + 1) if required else 0.5
        duration = max(
            min_timeout, MAX_TIMEOUT_FACTOR * min_timeout - (MAX_TIMEOUT_FACTOR - 1) * min_timeout * progress
        )
        # With enough confirmations, this member's own degraded health does not lengthen the time-out.
        health_factor = 1 if confirmations >= required and required else 1 + self.prober.local_health
        return record.since + int(duration * health_factor) + answer_time

    def is_expired(self, record: Record, now: int) -> bool:
        """Whether a suspected member is to be declared dead now."""
        heard_since = self.prober.last_contact.get(record.member, 0) > record.since
        return now >= self.expires_at(record) and not (
            heard_since and now - record.since < MAX_TIMEOUT_FACTOR * self.min_suspicion_ns
        )

    def next_check_at(self, record: Record, now: int) -> int:
        """When to check a suspicion again, in ns."""
        expires_at = self.expires_at(record)
        return expires_at if expires_at > now else now + RECHECK_NS

    def verify(self, record: Record, now: int) -> None:
        """Probes a suspected member once for each incarnation, if this member is one of its watchers."""
        verified = self.verified.get(record.member) == (record.generation, record.incarnation)
        if verified or self.table.me in record.suspicion_reporters or self.prober.is_probing(record.member):
            return
        if self.table.me in self.table.watchers(record.member, WATCHERS):
            self.verified[record.member] = record.generation, record.incarnation
            self.prober.start_probe(record.member, now)
