"""What a gatekeeper holds of the agreed state and of the records, and how fresh that is.

No version and no record ever goes back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from pepperrun.control.records import GatewayRecord, Worker
from pepperrun.distribution.digests import WORKER_PREFIX, RangeDigests, Record, newer, record_id
from pepperrun.distribution.repair import Records

State = dict[str, Any]  # the agreed state, see docs/SYSTEM.md
NS_PER_MS = 1e6


class AppliedChange(NamedTuple):
    """The operation by which a state came from the one with version `base_version`."""

    base_version: int
    operation: dict[str, Any]


StateListener = Callable[[int, State, AppliedChange | None], None]


class ReplicatedState:
    """The copy of one process, for readers and for the relay. Times are steady ns, 0 for never.

    Attributes
    ----------
    version, state
        Of the agreed state; 0 and None before the first.
    workers, gateways : dict
        Records by id and by name; those that are gone stay for a while.
    confirmed_at : int
        All that was acknowledged before it is in `state`.
    records_confirmed_at : int
        All records that the control node knew then are held.
    control_nodes : list of [ip, zone]
        As the control nodes gave them last.
    on_state : list of callable
        Called with version, state and the `AppliedChange` where it was one operation.
    on_workers, on_gateways : list of callable
        Called with the records that were taken over.
    """

    def __init__(self) -> None:
        self.version = 0
        self.state: State | None = None
        self.workers: dict[str, Worker] = {}
        self.gateways: dict[str, GatewayRecord] = {}
        self.digests = RangeDigests()
        self.confirmed_at = 0
        self.records_confirmed_at = 0
        self.control_nodes: list[list[str]] = []
        self.on_state: list[StateListener] = []
        self.on_workers: list[Callable[[list[Worker]], None]] = []
        self.on_gateways: list[Callable[[list[GatewayRecord]], None]] = []
        self._gone: dict[str, int] = {}  # records that are gone, and the sweep in which they became so
        self._sweeps = 0

    def age_ms(self, now: int) -> float | None:
        """Return how long ago what is held was known to be the newest; None if never."""
        return (now - self.confirmed_at) / NS_PER_MS if self.confirmed_at else None

    def update_state(self, version: int, state: State, change: AppliedChange | None = None) -> bool:
        """Take over a newer state; return False where what is held is as new."""
        if version <= self.version:
            return False
        self.version = version
        self.state = state
        for listener in self.on_state:
            listener(version, state, change)
        return True

    def update_records(self, workers: Iterable[Worker], gateways: Iterable[GatewayRecord]) -> Records:
        """Take over the newer ones of these records and return them."""
        taken = Records([], [])
        for worker in workers:
            known_worker = self.workers.get(worker.id)
            if newer(known_worker, worker):
                self.workers[worker.id] = worker
                self.digests.replace(known_worker, worker)
                taken.workers.append(worker)
        for gateway in gateways:
            known_gateway = self.gateways.get(gateway.name)
            if newer(known_gateway, gateway):
                self.gateways[gateway.name] = gateway
                self.digests.replace(known_gateway, gateway)
                taken.gateways.append(gateway)
        self._note_gone(taken)
        self._notify(taken)
        return taken

    def _notify(self, taken: Records) -> None:
        if taken.workers:
            for worker_listener in self.on_workers:
                worker_listener(taken.workers)
        if taken.gateways:
            for gateway_listener in self.on_gateways:
                gateway_listener(taken.gateways)

    def _note_gone(self, taken: Records) -> None:
        records: list[Record] = [*taken.workers, *taken.gateways]
        for record in records:
            if record.is_gone:
                self._gone[record_id(record)] = self._sweeps

    def sweep(self) -> None:
        """Forget what has been gone since before the last sweep but one, without notifying anybody."""
        self._sweeps += 1
        for id_ in [id_ for id_, swept in self._gone.items() if swept < self._sweeps - 1]:
            del self._gone[id_]
            table: dict[str, Any] = self.workers if id_.startswith(WORKER_PREFIX) else self.gateways
            name = id_.partition(":")[2]
            known = table.get(name)
            if known is not None and known.is_gone:
                del table[name]
