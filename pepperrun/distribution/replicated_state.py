"""A replica of the agreed state and of the records, and how fresh it is.

The version and the records are never replaced by older ones.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from pepperrun.control.records import GatewayRecord, Worker
from pepperrun.distribution.digests import WORKER_PREFIX, RangeDigests, Record, newer, record_id
from pepperrun.distribution.repair import Records

State = dict[str, Any]  # the agreed state; docs/SYSTEM.md describes the fields
NS_PER_MS = 1e6


class AppliedChange(NamedTuple):
    """The operation that changed the state with version `base_version` to the current one."""

    base_version: int
    operation: dict[str, Any]


StateListener = Callable[[int, State, AppliedChange | None], None]


class ReplicatedState:
    """The replica of one process, for readers and for the relay. Times are monotonic ns, 0 for never.

    Attributes
    ----------
    version, state
        Version and content of the agreed state; 0 and None before the first.
    workers, gateways : dict
        Records by id and by name. Those that are gone stay until a later `sweep`.
    confirmed_at : int
        `state` contains every write that was acknowledged before this time.
    records_confirmed_at : int
        The replica has all records that the control node had at this time.
    control_nodes : list of [ip, zone]
        The list that a control node sent last.
    on_state : list of callable
        Called with the version, the state, and the `AppliedChange` if one operation led to it.
    on_workers, on_gateways : list of callable
        Called with the records that were replaced by newer ones or added.
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
        self._gone: dict[str, int] = {}  # number of sweeps at the time when a record, by id, was gone
        self._sweeps = 0

    def age_ms(self, now: int) -> float | None:
        """Return how long ago the state was known to be the newest; None if never."""
        return (now - self.confirmed_at) / NS_PER_MS if self.confirmed_at else None

    def update_state(self, version: int, state: State, change: AppliedChange | None = None) -> bool:
        """Store a newer state; return False if the current one is as new."""
        if version <= self.version:
            return False
        self.version = version
        self.state = state
        for listener in self.on_state:
            listener(version, state, change)
        return True

    def update_records(self, workers: Iterable[Worker], gateways: Iterable[GatewayRecord]) -> Records:
        """Store those of these records that are newer, and return them."""
        updated = Records([], [])
        for worker in workers:
            known_worker = self.workers.get(worker.id)
            if newer(known_worker, worker):
                self.workers[worker.id] = worker
                self.digests.replace(known_worker, worker)
                updated.workers.append(worker)
        for gateway in gateways:
            known_gateway = self.gateways.get(gateway.name)
            if newer(known_gateway, gateway):
                self.gateways[gateway.name] = gateway
                self.digests.replace(known_gateway, gateway)
                updated.gateways.append(gateway)
        self._record_gone(updated)
        self._notify(updated)
        return updated

    def _notify(self, updated: Records) -> None:
        if updated.workers:
            for worker_listener in self.on_workers:
                worker_listener(updated.workers)
        if updated.gateways:
            for gateway_listener in self.on_gateways:
                gateway_listener(updated.gateways)

    def _record_gone(self, updated: Records) -> None:
        records: list[Record] = [*updated.workers, *updated.gateways]
        for record in records:
            if record.is_gone:
                self._gone[record_id(record)] = self._sweeps

    def sweep(self) -> None:
        """Forget the records that were gone before the previous sweep. Listeners are not notified."""
        self._sweeps += 1
        for id_ in [id_ for id_, swept in self._gone.items() if swept < self._sweeps - 1]:
            del self._gone[id_]
            table: dict[str, Any] = self.workers if id_.startswith(WORKER_PREFIX) else self.gateways
            name = id_.partition(":")[2]
            known = table.get(name)
            if known is not None and known.is_gone:
                del table[name]
