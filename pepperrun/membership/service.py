"""Runs a gatekeeper's `Member`: its datagrams, its timer, its log lines and its effect on the quotas.

Datagrams go over the socket of the ordinary peer messages. The quotas get the result as their
`membership_status`; no request waits for membership.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from pepperrun.admin.commands import Metric
from pepperrun.core.clock import SECOND
from pepperrun.core.gossip import INCARNATION_TICK_NS
from pepperrun.gatekeeper import Gatekeeper
from pepperrun.log import log_message
from pepperrun.membership.config import MembershipConfig
from pepperrun.membership.member import Member
from pepperrun.membership.report import events_since, figures, json_line, membership_report
from pepperrun.membership.resume import SEQUENCE_GAP, export_state, restore_state
from pepperrun.membership.states import MemberConfig, MembershipEvent
from pepperrun.membership.steps import Step, membership_status_of, next_step_change, step_of
from pepperrun.membership.wire import MAGIC, MAX_MEMBERS

MIN_TIMER_S = 0.002  # between two timer runs, so that a burst is handled in one of them


def is_membership_datagram(data: bytes) -> bool:
    """Whether a datagram belongs to membership, by its first byte."""
    return data[:1] == bytes((MAGIC,))


class MembershipService:
    """Runs a member on the gatekeeper's event loop. `send(peer, data)` sends a datagram."""

    def __init__(
        self,
        config: MembershipConfig,
        name: str,
        names: Sequence[str],
        gatekeeper: Gatekeeper,
        send: Callable[[int, bytes], None],
        seed: int,
        saved_state: Any = None,
    ) -> None:
        settings = gatekeeper.settings
        if settings.gateways > MAX_MEMBERS:
            raise ValueError(f"members: {settings.gateways} gatekeepers, {MAX_MEMBERS} at most")
        self.config, self.member_names, self.gatekeeper, self.send = config, names, gatekeeper, send
        # The monotonic clock, because the gatekeeper's clock may step. The generation is taken from the
        # gatekeeper's clock all the same: it must be later than that of the previous process.
        self.clock = time.monotonic_ns
        now, pace = self.clock(), (config.probe_period_ns, config.min_suspicion_ns)
        member_config = MemberConfig(settings.me, settings.gateways, name, config.load_keys(), *pace)
        self.member = Member(
            member_config, gatekeeper.clock() // INCARNATION_TICK_NS % (2**32 - 1) + 1, seed, now
        )
        if saved_state is not None:
            self._restore(saved_state, now)
        self.member.on_event = self._on_event
        self.step: Step | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.status_inputs: object = None  # values that the last status was derived from
        self.next_step_change_at: int | None = None  # when the step next changes through time alone
        self.closed = False
        self.inactive = False  # another process of this gatekeeper is the member now
        self.run_due()

    def _restore(self, saved_state: Any, now: int) -> None:
        try:
            restore_state(self.member, saved_state, now)
        except (KeyError, TypeError, ValueError) as error:
            log_message(
                "members",
                f"membership starts without the state of the previous process: invalid state: {error}",
            )

    # Events of the loop.

    def on_datagram(self, peer: int, data: bytes) -> None:
        """Handles a datagram from the configured address of a peer."""
        if self.closed or self.inactive or not self.gatekeeper.sends_to_peers:
            return
        self.member.receive(peer, data, self.clock())
        self._flush()

    def run_due(self) -> None:
        """Runs the timers that are due and schedules the next call."""
        self.timer = None
        if self.closed:
            return
        if not self.gatekeeper.sends_to_peers:
            self.inactive = True
        elif self.inactive:  # the next process did not start: this process is the member again
            self.inactive = False
            self.member.outbox.sequence += 2 * SEQUENCE_GAP
        if not self.inactive:
            now, clock_offset = self.clock(), self.gatekeeper.clock() - self.clock()
            for peer, peer_state in self.gatekeeper.gateway.quotas.inbox.peers.items():
                self.member.record_contact(peer, peer_state[2] - clock_offset)
            self.member.tick(now)
        self._flush()

    def _flush(self) -> None:
        for peer, data in self.member.outbox.take_outgoing():
            self.send(peer, data)
        now = self.clock()
        self._update_membership_status(now)
        due = self.member.due()
        if self.next_step_change_at is not None:
            due = min(due, self.next_step_change_at)
        wait = SECOND // 20 if self.inactive else due - now
        loop = self.gatekeeper.loop
        if self.timer is None or loop.time() + wait / SECOND < self.timer.when():
            if self.timer is not None:
                self.timer.cancel()
            self.timer = loop.call_later(max(MIN_TIMER_S, wait / SECOND), self.run_due)

    def _update_membership_status(self, now: int) -> None:
        """Passes a changed membership status to the quotas and refreshes their accounts at once."""
        member, quotas = self.member, self.gatekeeper.gateway.quotas
        changed_at = member.state_changed_at, member.rejoined_at
        state = (
            member.table.version,
            member.views.installed_count,
            member.suspects_itself,
            member.own.state,
            changed_at,
        )
        if state == self.status_inputs and (
            self.next_step_change_at is None or now < self.next_step_change_at
        ):
            return  # no input of the steps has changed
        self.status_inputs, self.next_step_change_at = state, next_step_change(member, now)
        status, step = membership_status_of(self.member, now), step_of(self.member, now)
        if step is not self.step:
            log_message(
                f"members step {step.value}", f"members: step {step.value}, side {self.member.side().value}"
            )
            self.member.record_step(step.value, now)
            self.step = step
        if status != quotas.membership_status:
            quotas.membership_status = status
            quotas.refresh(max(self.gatekeeper.clock(), self.gatekeeper.gateway.now))

    def _on_event(self, happened: MembershipEvent) -> None:
        name = (
            self.member_names[happened.member]
            if happened.member < len(self.member_names)
            else str(happened.member)
        )
        log_message(
            f"members {happened.what}", f"members: {name}: {happened.what} {happened.detail}".rstrip()
        )

    # Calls of the gatekeeper.

    def reload(self, config: MembershipConfig) -> None:
        """Reads the key file again; its keys take effect at once. ValueError if the file is invalid."""
        self.member.set_keys(config.load_keys())
        self.config = config

    def export_state(self) -> dict[str, Any]:
        """The state for the process that replaces this one."""
        return export_state(self.member)

    def answer_call(self, call: bytes) -> bytes | None:
        """Answers the admin calls `members` and `members since NANOSECONDS`; None for any other call."""
        words = call.split()
        if words[:1] != [b"members"]:
            return None
        now = self.clock()
        if words == [b"members"]:
            failure_domain = {"region": self.config.region, "zone": self.config.zone}
            return json_line(membership_report(self.member, self.member_names, now) | failure_domain)
        if len(words) == 3 and words[1] == b"since" and words[2].isdigit():
            return json_line({"now": now, "events": events_since(self.member, int(words[2]))})
        return b"error members, or members since NANOSECONDS\n"

    def figures(self) -> Iterable[Metric]:
        """The membership metrics of the admin call `telemetry`."""
        return figures(self.member)

    def leave(self) -> None:
        """Announces a graceful leave, so that the others need not detect a failure."""
        if not self.closed and not self.inactive:
            self.member.leave(self.clock())
            self._flush()

    def close(self) -> None:
        """Cancels the timer and ignores further datagrams."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
