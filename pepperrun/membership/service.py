"""Membership of a running gatekeeper: the member's datagrams, its timer, and whom it tells what it knows.

Datagrams go over the socket of the ordinary messages. What the member knows reaches the decisions as their
`standing`; nothing of a request waits for it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from pepperrun.admin.calls import Figure
from pepperrun.core.clock import SECOND
from pepperrun.core.gossip import TENTH
from pepperrun.gatekeeper import Gatekeeper
from pepperrun.log import say
from pepperrun.membership.config import MembersConfig
from pepperrun.membership.member import Member
from pepperrun.membership.report import events_since, figures, line, report
from pepperrun.membership.resume import JUMP, resume, state_of
from pepperrun.membership.states import Config, Happened
from pepperrun.membership.steps import Step, standing_of, step_of, until
from pepperrun.membership.wire import MARK, MOST_MEMBERS

LEAST_S = 0.002  # between two turns: what comes in bursts is answered together


def ours(data: bytes) -> bool:
    """Is this a datagram of membership?"""
    return data[:1] == bytes((MARK,))


class Service:
    """Runs a member on the gatekeeper's loop."""

    def __init__(
        self,
        config: MembersConfig,
        name: str,
        names: Sequence[str],
        gatekeeper: Gatekeeper,
        tell: Callable[[int, bytes], None],
        seed: int,
        before: Any = None,
    ) -> None:
        settings = gatekeeper.settings
        if settings.gateways > MOST_MEMBERS:
            raise ValueError(f"members: {settings.gateways} gatekeepers, {MOST_MEMBERS} at most")
        self.config, self.names, self.gatekeeper, self.tell = config, names, gatekeeper, tell
        # Not the gatekeeper's clock: that one may step. A life has to be later than the one before, though.
        self.clock = time.monotonic_ns
        now, pace = self.clock(), (config.period_ns, config.suspect_ns)
        what = Config(settings.me, settings.gateways, name, config.keys(), *pace)
        self.member = Member(what, gatekeeper.clock() // TENTH % (2**32 - 1) + 1, seed, now)
        if before is not None:
            self._resume(before, now)
        self.member.told_of = self._happened
        self.step: Step | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.stood: object = None  # what the last standing was derived from
        self.changes_at: int | None = None  # when the step changes by time alone
        self.closed = False
        self.silent = False  # another process of this gatekeeper is the member
        self.turn()

    def _resume(self, before: Any, now: int) -> None:
        try:
            resume(self.member, before, now)
        except (KeyError, TypeError, ValueError) as error:
            say("members", f"membership begins anew: what was handed over is no good: {error}")

    # Turns.

    def heard(self, peer: int, data: bytes) -> None:
        """A datagram from a configured address."""
        if self.closed or self.silent or not self.gatekeeper.telling:
            return
        self.member.receive(peer, data, self.clock())
        self._after()

    def turn(self) -> None:
        """What is due now."""
        self.timer = None
        if self.closed:
            return
        if not self.gatekeeper.telling:
            self.silent = True
        elif self.silent:  # the successor never came: this process is the member again
            self.silent = False
            self.member.outbox.sequence += 2 * JUMP
        if not self.silent:
            now, ahead = self.clock(), self.gatekeeper.clock() - self.clock()
            for peer, known in self.gatekeeper.gateway.quotas.inbox.peers.items():
                self.member.heard(peer, known[2] - ahead)
            self.member.tick(now)
        self._after()

    def _after(self) -> None:
        for peer, data in self.member.outbox.take_out():
            self.tell(peer, data)
        now = self.clock()
        self._stand(now)
        due = self.member.due()
        if self.changes_at is not None:
            due = min(due, self.changes_at)
        wait = SECOND // 20 if self.silent else due - now
        loop = self.gatekeeper.loop
        if self.timer is None or loop.time() + wait / SECOND < self.timer.when():
            if self.timer is not None:
                self.timer.cancel()
            self.timer = loop.call_later(max(LEAST_S, wait / SECOND), self.turn)

    def _stand(self, now: int) -> None:
        """Tells the decisions; where something has changed, their stores follow at once."""
        member, quotas = self.member, self.gatekeeper.gateway.quotas
        changed_at = member.moved_at, member.returned_at
        state = member.book.changes, member.views.passed, member.doubt, member.own.state, changed_at
        if state == self.stood and (self.changes_at is None or now < self.changes_at):
            return  # nothing that the steps go by is different
        self.stood, self.changes_at = state, until(member, now)
        standing, step = standing_of(self.member, now), step_of(self.member, now)
        if step is not self.step:
            say(f"members step {step.value}", f"members: step {step.value}, side {self.member.side().value}")
            self.member.note_step(step.value, now)
            self.step = step
        if standing != quotas.standing:
            quotas.standing = standing
            quotas.refresh(max(self.gatekeeper.clock(), self.gatekeeper.gateway.now))

    def _happened(self, what: Happened) -> None:
        name = self.names[what.member] if what.member < len(self.names) else str(what.member)
        say(f"members {what.what}", f"members: {name}: {what.what} {what.detail}".rstrip())

    # What others want.

    def reload(self, config: MembersConfig) -> None:
        """Another key file, or the same one with other keys: they hold at once."""
        self.member.rekey(config.keys())
        self.config = config

    def state(self) -> dict[str, Any]:
        """For a process that takes this one's place."""
        return state_of(self.member)

    def answer(self, call: bytes) -> bytes | None:
        """The second address's calls `membership` and `members since AT`; None for any other."""
        words = call.split()
        if words[:1] != [b"members"]:
            return None
        now = self.clock()
        if words == [b"members"]:
            place = {"region": self.config.region, "zone": self.config.zone}
            return line(report(self.member, self.names, now) | place)
        if len(words) == 3 and words[1] == b"since" and words[2].isdigit():
            return line({"now": now, "events": events_since(self.member, int(words[2]))})
        return b"error members, or members since NANOSECONDS\n"

    def figures(self) -> Iterable[Figure]:
        """For `telemetry`."""
        return figures(self.member)

    def leave(self) -> None:
        """The gatekeeper drains: the others need not find out."""
        if not self.closed and not self.silent:
            self.member.leave(self.clock())
            self._after()

    def close(self) -> None:
        """Stops."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
