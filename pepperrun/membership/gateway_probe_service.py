"""GatewayProbes of a running gatekeeper: datagrams over a socket that others use too, and one timer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable

from pepperrun.control.records import GatewayRecord
from pepperrun.foundation.settings import Address, Settings
from pepperrun.membership.gateway_prober import GatewayProber

LEAST_S = 0.005  # between two turns: what comes in bursts is answered together


class GatewayProbes:
    """Runs a prober on the loop. `send(data, where)` sends a datagram.

    `changed()` is called when somebody is found to be absent or back. Give datagrams that begin with
    `membership.gateway_probe_wire.MARK` to `received`, records of gatekeepers to `on_gateways`.
    """

    def __init__(
        self,
        settings: Settings,
        life: int,
        seed: int,
        send: Callable[[bytes, Address], None],
        changed: Callable[[], None] = lambda: None,
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        me, self.clock = settings.me, clock
        self.prober = GatewayProber(me.station, me.region, life, seed, self.clock())
        self.send = send
        self.seen: tuple[frozenset[str], bool] = (frozenset(), False)
        self.told = changed
        self.dirty = False
        self.prober.changed = self._dirty
        self.timer: asyncio.TimerHandle | None = None
        self.begun = self.closed = False

    def _dirty(self) -> None:
        self.dirty = True

    def on_gateways(self, changed: Iterable[GatewayRecord]) -> None:
        """Records of gatekeepers that are new or have changed. It begins with the first of another one."""
        if self.closed:
            return
        self.prober.take(changed)
        if not self.begun and len(self.prober.numbers) > 1:
            self.begun = True
            self._turn()

    def received(self, data: bytes, where: Address) -> None:
        """A datagram has come."""
        if self.begun and not self.closed:
            self.prober.receive(data, where, self.clock())
            self._after()

    def heard(self, station: str) -> None:
        """Another message of that gatekeeper has come now."""
        self.prober.heard(station, self.clock())

    def there(self, station: str) -> bool:
        """Is that gatekeeper there, as far as is known here?"""
        return self.prober.there(station)

    def absent(self) -> frozenset[str]:
        """Stations that are suspected, dead or have left; none while this one doubts itself."""
        return frozenset() if self.prober.doubt else self.prober.absent()

    @property
    def doubt(self) -> bool:
        """It stood still, or nobody answers it: what it thinks of others says little."""
        return self.prober.doubt

    def _turn(self) -> None:
        self.timer = None
        if not self.closed:
            self.prober.tick(self.clock())
            self._after()

    def _after(self) -> None:
        for where, data in self.prober.take_out():
            self.send(data, where)
        if self.dirty:
            self.dirty = False
            seen = (self.prober.absent(), self.prober.doubt)
            if seen != self.seen:
                self.seen = seen
                self.told()
        loop = asyncio.get_running_loop()
        wait = max(LEAST_S, (self.prober.due() - self.clock()) / 1e9)
        if self.timer is None or loop.time() + wait < self.timer.when():
            if self.timer is not None:
                self.timer.cancel()
            self.timer = loop.call_later(wait, self._turn)

    def leave(self) -> None:
        """This gatekeeper is to stop: the others need not find out."""
        if self.begun and not self.closed:
            self.prober.leave(self.clock())
            self._after()

    def close(self) -> None:
        """Stops."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
