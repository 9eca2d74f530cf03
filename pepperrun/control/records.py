"""What is kept of workers and gatekeepers: one record each, the newer of two copies wins.

A record's `rank` orders its copies: by life, serial and then by how final its state is. Times on the wire are
lengths (milliseconds still to run), each process counts them on its own steady clock, so a way that takes
long makes a cold worker count as cold for longer, never for less. A row may have more columns in a later
version; they are passed over.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Literal

BOARDING, UNLOADING, LOST, GONE = "boarding", "unloading", "lost", "gone"  # a worker's states
FINAL = {BOARDING: 0, LOST: 1, UNLOADING: 2, GONE: 3}
READY, STARTING, LEAVING = "ready", "starting", "leaving"  # a gatekeeper's, beside LOST and GONE

State = Literal["boarding", "unloading", "lost", "gone"]


@dataclass(slots=True, frozen=True)
class Worker:
    """One life of a worker.

    `serial` is that of the beat that last changed anything here, not of the last beat. `lost` is what the
    core concludes from silence and a later beat undoes; `gone` is final. `cold_until`: own steady clock, ns,
    0 for warm. `unsure`: it may have turned cold since it was last heard; it counts as cold until it says
    more.
    """

    id: str
    service: str
    address: str
    zone: str
    edition: str = ""
    slots: int = 1
    serial: int = 0
    state: str = BOARDING
    cold_until: int = 0
    unsure: bool = False

    @property
    def rank(self) -> tuple[int, int, int]:
        """Unloading and gone are never undone; else the later beat wins, and at the same one the graver."""
        final = FINAL[self.state]
        return (final if final > 1 else 0), self.serial, final * 2 + (not self.unsure)

    def wire(self, now: int) -> list[Any]:
        """For another process, or for a digest where `now` is 0."""
        left = max(0, self.cold_until - now) // 1_000_000 if now else 0
        return [
            *(self.id, self.service, self.address, self.zone, self.edition, self.slots, self.serial),
            *(self.state, left, self.unsure),
        ]

    @classmethod
    def read(cls, row: list[Any], now: int) -> Worker:
        """From another process; ValueError or TypeError where it can't be meant."""
        id, service, address, zone, edition, slots, serial, state, left, unsure, *_ = row
        if state not in FINAL:
            raise ValueError(f"a worker's state can't be {state!r}")
        cold = now + int(left) * 1_000_000 if left else 0
        return cls(id, service, address, zone, edition, int(slots), int(serial), state, cold, bool(unsure))


@dataclass(slots=True, frozen=True)
class GatewayRecord:
    """One life of a gatekeeper. `life` grows from one start of its process to the next; `serial` within it.

    `counter`: where clients reach it. `internal_port`: where own processes do, by TCP and UDP.
    """

    station: str
    zone: str
    region: str
    counter: str
    internal_port: str
    life: int
    serial: int = 0
    state: str = STARTING

    @property
    def rank(self) -> tuple[int, int, int]:
        """A later life, then a later word of it, then what others conclude from its silence."""
        return self.life, self.serial, int(self.state in (LOST, GONE))

    def wire(self) -> list[Any]:
        """For another process."""
        return [
            *(self.station, self.zone, self.region, self.counter, self.internal_port, self.life, self.serial),
            self.state,
        ]

    @classmethod
    def read(cls, row: list[Any]) -> GatewayRecord:
        """From another process."""
        station, zone, region, counter, internal_port, life, serial, state, *_ = row
        if state not in (READY, STARTING, LEAVING, LOST, GONE):
            raise ValueError(f"a gatekeeper's state can't be {state!r}")
        return cls(station, zone, region, counter, internal_port, int(life), int(serial), state)
