"""From a suspicion to a burial: who looks for itself, and how long it takes. Does no I/O.

| what is known of the suspected one | buried after |
| --- | --- |
| AGREE of the live ones, or all if there are fewer, have looked and agree | the least time |
| fewer agree | longer, up to LONGER times the least; times one more than this member's own trouble |
| nobody is left to agree | half of the longest: this one may be wrong about all of them |
| others have buried it already | the least time: it may not have heard what was said of it |
| this one still hears it | not before the longest time: it may be slow, or not hear what is said of it |

To each the time is added that an answer from it may take.
"""

from __future__ import annotations

import math

from pepperrun.membership.probing import Prober
from pepperrun.membership.records import MemberTable, Record
from pepperrun.membership.views import RECHECK_NS
from pepperrun.membership.wire import State

WATCHERS = 4  # look for themselves whether a suspected member is there
REQUIRED_CONFIRMATIONS = 3  # of them, this one's own probe included, bury it at once
MAX_TIMEOUT_FACTOR = 6  # times as long where nobody agrees


class SuspicionTimers:
    """Judges the suspected ones of a book."""

    def __init__(self, table: MemberTable, prober: Prober, min_suspicion_ns: int) -> None:
        self.table, self.prober, self.min_suspicion_ns = table, prober, min_suspicion_ns
        self.verified: dict[int, tuple[int, int]] = {}  # whom this one has looked for: life and incarnation

    def required_confirmations(self) -> int:
        """So many besides the first have to agree."""
        return max(0, min(REQUIRED_CONFIRMATIONS, len(self.table.others_in(State.ALIVE)) + 1) - 1)

    def expires_at(self, record: Record) -> int:
        """When a suspicion becomes a death, if it is not heard."""
        min_timeout, confirmations, required = (
            self.min_suspicion_ns,
            len(record.suspicion_reporters) - 1,
            self.required_confirmations(),
        )
        answer_time = self.prober.base_timeout(record.member)
        if record.reported_dead:
            return record.since + min_timeout + answer_time
        part = math.log(confirmations + 1) / math.log(required + 1) if required else 0.5
        span = max(
            min_timeout, MAX_TIMEOUT_FACTOR * min_timeout - (MAX_TIMEOUT_FACTOR - 1) * min_timeout * part
        )
        # Enough agree: who is patient because it fares badly itself does not hold them up.
        patience = 1 if confirmations >= required and required else 1 + self.prober.local_health
        return record.since + int(span * patience) + answer_time

    def is_expired(self, record: Record, now: int) -> bool:
        """Is it to be buried now?"""
        heard = self.prober.last_contact.get(record.member, 0) > record.since
        return now >= self.expires_at(record) and not (
            heard and now - record.since < MAX_TIMEOUT_FACTOR * self.min_suspicion_ns
        )

    def next_check_at(self, record: Record, now: int) -> int:
        """When to look at it again."""
        expires_at = self.expires_at(record)
        return expires_at if expires_at > now else now + RECHECK_NS

    def verify(self, record: Record, now: int) -> None:
        """Looks for itself, once, whether it is there, if this one is among those to do so."""
        verified = self.verified.get(record.member) == (record.generation, record.incarnation)
        if verified or self.table.me in record.suspicion_reporters or self.prober.is_probing(record.member):
            return
        if self.table.me in self.table.watchers(record.member, WATCHERS):
            self.verified[record.member] = record.generation, record.incarnation
            self.prober.start_probe(record.member, now)
