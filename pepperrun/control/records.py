"""Records of endpoints, workers and gatekeepers: one each, and of two copies the newer wins.

A record's `rank` orders its copies: by incarnation, serial and then by how final its state is. Times in rows
are lengths (milliseconds still to run), and each process counts them on its own steady clock: a slow way
makes a worker count as warming up for longer, never for less. A row may have more columns in a later version;
they are passed over.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

MS = 1_000_000  # ns


class WorkerState(enum.StrEnum):
    """State of a worker, in the words of the wire."""

    SERVING = "boarding"
    DRAINING = "unloading"
    LOST = "lost"  # concluded from silence; a later heartbeat undoes it
    GONE = "gone"  # final


class GatewayState(enum.StrEnum):
    """State of a gatekeeper, in the words of the wire."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "leaving"
    LOST = "lost"
    GONE = "gone"


# How far a worker's state is from serving; of two copies with one serial the graver counts.
FINALITY = {WorkerState.SERVING: 0, WorkerState.LOST: 1, WorkerState.DRAINING: 2, WorkerState.GONE: 3}


@dataclass(slots=True, frozen=True)
class Worker:
    """One incarnation of a worker.

    Attributes
    ----------
    serial : int
        Of the heartbeat that last changed anything here, not of the last heartbeat.
    warming_until : int
        Steady ns, 0 for a worker that is warm.
    maybe_cold : bool
        It may have turned cold since its last heartbeat, and counts as cold until the next one.
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
        """Order of copies: draining and gone are never undone; else the later heartbeat, then the graver."""
        finality = FINALITY[self.state]
        is_final = finality > FINALITY[WorkerState.LOST]
        return (finality if is_final else 0), self.serial, finality * 2 + (not self.maybe_cold)

    @property
    def is_gone(self) -> bool:
        """Whether it has ended for good."""
        return self.state is WorkerState.GONE

    def to_row(self, now: int) -> list[Any]:
        """Return the row for another process, or for a digest where `now` is 0."""
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
        """Return the record of another process' row.

        Raises
        ------
        ValueError, TypeError
            The row is none of a worker.
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
        Where clients reach it.
    internal_address : str
        Where processes of the system reach it, by TCP and UDP.
    incarnation : int
        Grows from one start of its process to the next.
    serial : int
        Grows within an incarnation.
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
        """Order of copies: a later incarnation, then its later record, then what others conclude."""
        is_concluded = self.state in (GatewayState.LOST, GatewayState.GONE)
        return self.incarnation, self.serial, int(is_concluded)

    @property
    def is_gone(self) -> bool:
        """Whether it has ended for good."""
        return self.state is GatewayState.GONE

    @property
    def is_running(self) -> bool:
        """Whether it serves or is about to."""
        return self.state in (GatewayState.READY, GatewayState.STARTING)

    def to_row(self) -> list[Any]:
        """Return the row for another process."""
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
        """Return the record of another process' row.

        Raises
        ------
        ValueError, TypeError
            The row is none of a gatekeeper.
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
