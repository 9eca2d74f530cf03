"""GatewayProbeService of a running gatekeeper: datagrams over a socket that others use too, and one timer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable

from pepperrun.control.records import GatewayRecord
from pepperrun.foundation.settings import Address, Settings
from pepperrun.membership.gateway_prober import GatewayProber

MIN_TIMER_S = 0.005  # between two turns: what comes in bursts is answered together


class GatewayProbeService:
    """Runs a prober on the loop. `send(data, where)` sends a datagram.

    `changed()` is called when somebody is found to be absent or back. Give datagrams that begin with
    `membership.gateway_probe_wire.MARK` to `received`, records of gatekeepers to `on_gateways`.
    """

    def __init__(
        self,
        settings: Settings,
        generation: int,
        seed: int,
        send: Callable[[bytes, Address], None],
        changed: Callable[[], None] = lambda: None,
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        me, self.clock = settings.me, clock
        self.prober = GatewayProber(me.station, me.region, generation, seed, self.clock())
        self.send = send
        self.reported_state: tuple[frozenset[str], bool] = (frozenset(), False)
        self.on_change = changed
        self.changed = False
        self.prober.on_change = self._mark_changed
        self.timer: asyncio.TimerHandle | None = None
        self.started = self.closed = False

    def _mark_changed(self) -> None:
        self.changed = True

    def on_gateways(self, changed: Iterable[GatewayRecord]) -> None:
        """Records of gatekeepers that are new or have changed. It begins with the first of another one."""
        if self.closed:
            return
        self.prober.update_gateways(changed)
        if not self.started and len(self.prober.number_by_name) > 1:
            self.started = True
            self._run_due()

    def on_datagram(self, data: bytes, where: Address) -> None:
        """A datagram has come."""
        if self.started and not self.closed:
            self.prober.receive(data, where, self.clock())
            self._flush()

    def record_contact(self, station: str) -> None:
        """Another message of that gatekeeper has come now."""
        self.prober.record_contact(station, self.clock())

    def is_present(self, station: str) -> bool:
        """Is that gatekeeper there, as far as is known here?"""
        return self.prober.is_present(station)

    def absent_gateways(self) -> frozenset[str]:
        """Stations that are suspected, dead or have left; none while this one doubts itself."""
        return frozenset() if self.prober.suspects_itself else self.prober.absent_gateways()

    @property
    def suspects_itself(self) -> bool:
        """It stood still, or nobody answers it: what it thinks of others says little."""
        return self.prober.suspects_itself

    def _run_due(self) -> None:
        self.timer = None
        if not self.closed:
            self.prober.tick(self.clock())
            self._flush()

    def _flush(self) -> None:
        for where, data in self.prober.take_outgoing():
            self.send(data, where)
        if self.changed:
            self.changed = False
            seen = (self.prober.absent_gateways(), self.prober.suspects_itself)
            if seen != self.reported_state:
                self.reported_state = seen
                self.on_change()
        loop = asyncio.get_running_loop()
        wait = max(MIN_TIMER_S, (self.prober.due() - self.clock()) / 1e9)
        if self.timer is None or loop.time() + wait < self.timer.when():
            if self.timer is not None:
                self.timer.cancel()
            self.timer = loop.call_later(wait, self._run_due)

    def leave(self) -> None:
        """This gatekeeper is to stop: the others need not find out."""
        if self.started and not self.closed:
            self.prober.leave(self.clock())
            self._flush()

    def close(self) -> None:
        """Stops."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
