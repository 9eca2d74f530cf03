"""What a gatekeeper holds of the news, and how fresh that is. No number and no record ever goes back."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from pepperrun.control.records import GatewayRecord, Worker
from pepperrun.distribution.digests import Record, Sums, newer, record_id

State = dict[str, Any]  # the agreed state, see docs/SYSTEM.md
Change = tuple[int, dict[str, Any]]  # the number it builds on, the operation


class NewsBook:
    """The news held by one process, for readers and for the relay.

    `number`, `state`: agreed state (0 and None before the first). `workers` by id, `gateways` by station;
    records that are gone stay for a while. `fresh_at`: own steady clock, ns: all that was acknowledged before
    that moment is in `state`; 0 for never. `cells_at`: likewise what the core machine asked knew of workers
    and gatekeepers at that moment is held.

    `on_agreed(number, state, change)`: `change` is (base, op) where it came as one on top of what was held,
    else None. `on_workers(changed)`, `on_gateways(changed)`: records taken over since, newest copies.
    """

    def __init__(self) -> None:
        self.number, self.state = 0, None  # type: int, State | None
        self.workers: dict[str, Worker] = {}
        self.gateways: dict[str, GatewayRecord] = {}
        self.sums = Sums()
        self.fresh_at = self.cells_at = 0
        self.gone: dict[str, int] = {}  # records that are gone, and the sweep that they were met in
        self.sweeps = 0
        self.cores: list[list[str]] = []  # [ip, zone] of each core machine
        self.on_agreed: list[Callable[[int, State, Change | None], None]] = []
        self.on_workers: list[Callable[[list[Worker]], None]] = []
        self.on_gateways: list[Callable[[list[GatewayRecord]], None]] = []

    def age_ms(self, now: int) -> float | None:
        """How long ago what is held was known to be the newest; None if never."""
        return (now - self.fresh_at) / 1e6 if self.fresh_at else None

    def take_agreed(self, number: int, state: State, change: Change | None = None) -> bool:
        """Takes a newer state; False where what is held is as new."""
        if number <= self.number:
            return False
        self.number, self.state = number, state
        for told in self.on_agreed:
            told(number, state, change)
        return True

    def take_cells(
        self, workers: Iterable[Worker], gateways: Iterable[GatewayRecord]
    ) -> tuple[list[Worker], list[GatewayRecord]]:
        """Takes the newer ones of these records and returns them."""
        fresh_workers, fresh_gateways = [], []
        for worker in workers:
            old = self.workers.get(worker.id)
            if newer(old, worker):
                self.workers[worker.id] = worker
                self.sums.swap(old, worker)
                fresh_workers.append(worker)
        for gateway in gateways:
            held = self.gateways.get(gateway.name)
            if newer(held, gateway):
                self.gateways[gateway.name] = gateway
                self.sums.swap(held, gateway)
                fresh_gateways.append(gateway)
        self._note_gone(fresh_workers, fresh_gateways)
        if fresh_workers:
            for told in self.on_workers:
                told(fresh_workers)
        if fresh_gateways:
            for heard in self.on_gateways:
                heard(fresh_gateways)
        return fresh_workers, fresh_gateways

    def _note_gone(self, workers: list[Worker], gateways: list[GatewayRecord]) -> None:
        records: list[Record] = [*workers]
        for record in records + [*gateways]:
            if record.is_gone:
                self.gone[record_id(record)] = self.sweeps

    def sweep(self) -> None:
        """Forgets what has been gone since before the last sweep but one. Nothing is told of that."""
        self.sweeps += 1
        for id in [id for id, met in self.gone.items() if met < self.sweeps - 1]:
            del self.gone[id]
            table: dict[str, Any] = self.workers if id.startswith("w:") else self.gateways
            if (held := table.get(id[2:])) is not None and held.is_gone:
                del table[id[2:]]
