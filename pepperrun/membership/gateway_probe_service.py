"""Runs a gatekeeper's `GatewayProber`: datagrams over a shared socket, and one timer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable

from pepperrun.control.records import GatewayRecord
from pepperrun.foundation.settings import Address, Settings
from pepperrun.membership.gateway_prober import GatewayProber

MIN_TIMER_S = 0.005  # between two timer runs, so that a burst is handled in one of them


class GatewayProbeService:
    """Runs a prober on the event loop. `send(data, address)` sends a datagram.

    `on_change()` is called when the set of absent gatekeepers or `suspects_itself` changes. The caller passes
    datagrams that begin with `gateway_probe_wire.MAGIC` to `on_datagram`, and records to `on_gateways`.
    """

    def __init__(
        self,
        settings: Settings,
        generation: int,
        seed: int,
        send: Callable[[bytes, Address], None],
        on_change: Callable[[], None] = lambda: None,
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        own, self.clock = settings.me, clock
        self.prober = GatewayProber(own.station, own.region, generation, seed, self.clock())
        self.send = send
        self.reported_state: tuple[frozenset[str], bool] = (frozenset(), False)
        self.on_change = on_change
        self.changed = False
        self.prober.on_change = self._mark_changed
        self.timer: asyncio.TimerHandle | None = None
        self.started = self.closed = False

    def _mark_changed(self) -> None:
        self.changed = True

    def on_gateways(self, changed: Iterable[GatewayRecord]) -> None:
        """Applies new or changed records. Probing starts with the first record of another gatekeeper."""
        if self.closed:
            return
        self.prober.update_gateways(changed)
        if not self.started and len(self.prober.number_by_name) > 1:
            self.started = True
            self._run_due()

    def on_datagram(self, data: bytes, address: Address) -> None:
        """Handles a probe datagram from an address."""
        if self.started and not self.closed:
            self.prober.receive(data, address, self.clock())
            self._flush()

    def record_contact(self, name: str) -> None:
        """Notes an ordinary message of that gatekeeper, received now."""
        self.prober.record_contact(name, self.clock())

    def is_present(self, name: str) -> bool:
        """Whether that gatekeeper counts as present; true for an unknown one."""
        return self.prober.is_present(name)

    def absent_gateways(self) -> frozenset[str]:
        """Names of gatekeepers that are suspected, dead or left; empty while this one suspects itself."""
        return frozenset() if self.prober.suspects_itself else self.prober.absent_gateways()

    @property
    def suspects_itself(self) -> bool:
        """Whether this gatekeeper stalled or gets no replies, so that its view of others is unreliable."""
        return self.prober.suspects_itself

    def _run_due(self) -> None:
        self.timer = None
        if not self.closed:
            self.prober.tick(self.clock())
            self._flush()

    def _flush(self) -> None:
        for address, data in self.prober.take_outgoing():
            self.send(data, address)
        if self.changed:
            self.changed = False
            state = (self.prober.absent_gateways(), self.prober.suspects_itself)
            if state != self.reported_state:
                self.reported_state = state
                self.on_change()
        loop = asyncio.get_running_loop()
        wait = max(MIN_TIMER_S, (self.prober.due() - self.clock()) / 1e9)
        if self.timer is None or loop.time() + wait < self.timer.when():
            if self.timer is not None:
                self.timer.cancel()
            self.timer = loop.call_later(wait, self._run_due)

    def leave(self) -> None:
        """Announces that this gatekeeper stops, so that the others need not detect a failure."""
        if self.started and not self.closed:
            self.prober.leave(self.clock())
            self._flush()

    def close(self) -> None:
        """Cancels the timer and ignores further datagrams and records."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
