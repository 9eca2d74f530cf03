"""Records of endpoints (workers and gatekeepers): one per endpoint; of two copies the newer wins.

A record's `rank` orders its copies: by incarnation, by serial, then by how final the state is. Times in rows
are remaining durations in milliseconds, and each process applies them to its own monotonic clock: a message
delay makes a worker count as warming up for longer, never for less. In later versions rows may have more
columns, which are ignored.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

MS = 1_000_000  # ns


class WorkerState(enum.StrEnum):
    """State of a worker; the values are part of the protocol."""

    SERVING = "boarding"
    DRAINING = "unloading"
    LOST = "lost"  # silent for too long; a later heartbeat reverts it
    GONE = "gone"  # final


class GatewayState(enum.StrEnum):
    """State of a gatekeeper; the values are part of the protocol."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "leaving"
    LOST = "lost"
    GONE = "gone"


# How final a worker's state is; of two copies with the same serial, the one with the more final state wins.
FINALITY = {WorkerState.SERVING: 0, WorkerState.LOST: 1, WorkerState.DRAINING: 2, WorkerState.GONE: 3}


@dataclass(slots=True, frozen=True)
class Worker:
    """One incarnation of a worker.

    Attributes
    ----------
    serial : int
        Serial of the last heartbeat that changed the record, not of the last heartbeat.
    warming_until : int
        End of the warm-up (monotonic ns); 0 for a warm worker.
    maybe_cold : bool
        Whether the worker may have become cold since its last heartbeat: it counts as cold until the next.
    """

    id: str
    service: str
    address: str
    zone: str
    edition: str = ""
    slots: int = 1
    serial: int = 0
    state: WorkerState = WorkerState.SERVING
    warming_until: int = 0
    maybe_cold: bool = False

    @property
    def rank(self) -> tuple[int, int, int]:
        """Sort key of copies: draining and gone are never reverted; else heartbeat serial, then finality."""
        finality = FINALITY[self.state]
        is_final = finality > FINALITY[WorkerState.LOST]
        return (finality if is_final else 0), self.serial, finality * 2 + (not self.maybe_cold)

    @classmethod
    def tombstone(cls, id_: str) -> Worker:
        """Return the record of a worker of which only the id is known, and that it has ended."""
        return cls(id_, service="", address="", zone="", state=WorkerState.GONE)

    @property
    def is_gone(self) -> bool:
        """Whether the state is gone."""
        return self.state is WorkerState.GONE

    @property
    def is_tombstone(self) -> bool:
        """Whether only the id is known, and that the worker has ended."""
        return self.is_gone and not self.service

    def to_row(self, now: int) -> list[Any]:
        """Return the row to send to another process; for a digest `now` is 0."""
        warming_ms = max(0, self.warming_until - now) // MS if now else 0
        return [
            self.id,
            self.service,
            self.address,
            self.zone,
            self.edition,
            self.slots,
            self.serial,
            self.state.value,
            warming_ms,
            self.maybe_cold,
        ]

    @classmethod
    def from_row(cls, row: list[Any], now: int) -> Worker:
        """Return the record of a row from another process.

        Raises
        ------
        ValueError, TypeError
            The row is not a valid worker row.
        """
        id_, service, address, zone, edition, slots, serial, state, warming_ms, maybe_cold, *_ = row
        return cls(
            id=id_,
            service=service,
            address=address,
            zone=zone,
            edition=edition,
            slots=int(slots),
            serial=int(serial),
            state=WorkerState(state),
            warming_until=now + int(warming_ms) * MS if warming_ms else 0,
            maybe_cold=bool(maybe_cold),
        )


@dataclass(slots=True, frozen=True)
class GatewayRecord:
    """One incarnation of a gatekeeper.

    Attributes
    ----------
    client_address : str
        Address for clients.
    internal_address : str
        Address for the processes of the system, by TCP and UDP.
    incarnation : int
        Increases with each start of its process.
    serial : int
        Increases within an incarnation.
    """

    name: str
    zone: str
    region: str
    client_address: str
    internal_address: str
    incarnation: int
    serial: int = 0
    state: GatewayState = GatewayState.STARTING

    @property
    def rank(self) -> tuple[int, int, int]:
        """Sort key of copies: incarnation, then serial; at equal serials lost and gone supersede the rest."""
        is_lost_or_gone = self.state in (GatewayState.LOST, GatewayState.GONE)
        return self.incarnation, self.serial, int(is_lost_or_gone)

    @property
    def is_gone(self) -> bool:
        """Whether the state is gone."""
        return self.state is GatewayState.GONE

    @property
    def is_running(self) -> bool:
        """Whether the gatekeeper serves or is about to."""
        return self.state in (GatewayState.READY, GatewayState.STARTING)

    def to_row(self) -> list[Any]:
        """Return the row to send to another process."""
        return [
            self.name,
            self.zone,
            self.region,
            self.client_address,
            self.internal_address,
            self.incarnation,
            self.serial,
            self.state.value,
        ]

    @classmethod
    def from_row(cls, row: list[Any]) -> GatewayRecord:
        """Return the record of a row from another process.

        Raises
        ------
        ValueError, TypeError
            The row is not a valid gatekeeper row.
        """
        name, zone, region, client_address, internal_address, incarnation, serial, state, *_ = row
        return cls(
            name=name,
            zone=zone,
            region=region,
            client_address=client_address,
            internal_address=internal_address,
            incarnation=int(incarnation),
            serial=int(serial),
            state=GatewayState(state),
        )
