"""The workers as this gatekeeper uses them: numbers, addresses, zones, who is cold or left out."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from pepperrun.control.records import Worker, WorkerState
from pepperrun.core.interface import Backend, BackendList, BackendState, ListKind
from pepperrun.dataplane.numbering import Numbering, name_hash
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import log_error
from pepperrun.foundation.settings import Address, parse_address

SECOND = 1_000_000_000
# After an evacuation a zone's workers count as cold until their heartbeats must have come.
REOPENED_NS = 4 * SECOND
MISDIRECTED_NS = 3 * SECOND  # another has its address: nothing is sent there, or until a record says more
FAR_ZONE, FAR_REGION = 1.02, 2.2  # how much slower a worker counts for its distance; see SYSTEM.md, Prices


class KnownWorker:
    """One life of a worker. `number` stands for its id in the decisions."""

    __slots__ = ("address", "misdirected_until", "number", "record", "region", "service")

    def __init__(self, record: Worker, number: int, service: int, region: str | None, where: Address) -> None:
        self.record, self.number, self.service = record, number, service
        self.region, self.address = region, where
        self.misdirected_until = 0  # until then its address is known to be another's


class WorkerTable:
    """All workers that the roster names. Answers what `UpstreamClient` asks of a directory."""

    def __init__(self, numbering: Numbering, zones: Mapping[str, str], zone: str, region: str) -> None:
        self.numbering, self.zones, self.zone, self.region = numbering, zones, zone, region
        self.by_number: dict[int, KnownWorker] = {}
        self.id_by_number: dict[int, str] = {}
        self.number_by_id: dict[str, int] = {}
        self.zone_numbers: dict[str, int] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.reopened: dict[str, int] = {}  # zone: until when its workers may have turned cold unheard

    def number_for(self, name: str) -> int:
        """The number of a worker's id."""
        if name not in self.number_by_id:
            number = name_hash(name)
            while number in self.id_by_number:
                number = (number + 1) % 2**32
            self.number_by_id[name], self.id_by_number[number] = number, name
        return self.number_by_id[name]

    def update(self, workers: Iterable[Worker]) -> BackendList:
        """Takes in records that are new or have changed."""
        changed = []
        for worker in workers:
            number = self.number_for(worker.id)
            if worker.is_gone:
                self.by_number.pop(number, None)
                service = self.numbering.service_number(worker.service)
                changed.append(
                    Backend(number, self.zone_number(worker.zone), state=BackendState.GONE, service=service)
                )
                continue
            try:
                where = parse_address(worker.address)
            except PepperrunError as error:
                log_error(error, worker=worker.id)
                continue
            service = self.numbering.service_number(worker.service)
            known = KnownWorker(worker, number, service, self.zones.get(worker.zone), where)
            self.by_number[number] = known
            changed.append(self._row(known))
        for row in changed:
            if row.state is BackendState.GONE and row.id not in self.by_number:
                self.number_by_id.pop(self.id_by_number.pop(row.id, ""), None)
        return BackendList(ListKind.DELTA, tuple(changed))

    def evacuate(self, zones: frozenset[str], now: int) -> BackendList | None:
        """Nothing is sent to these zones from now on; None where that changes nothing."""
        if zones == self.evacuated:
            return None
        moved = zones ^ self.evacuated
        for zone in self.evacuated - zones:
            self.reopened[zone] = now + REOPENED_NS
        self.evacuated = zones
        rows = [self._row(known) for known in self.by_number.values() if known.record.zone in moved]
        return BackendList(ListKind.DELTA, tuple(rows)) if rows else None

    def mark_misdirected(self, number: int, now: int) -> BackendList | None:
        """Another worker answers at its address."""
        known = self.by_number.get(number)
        if known is None:
            return None
        known.misdirected_until = now + MISDIRECTED_NS
        return BackendList(ListKind.DELTA, (self._row(known),))

    def restore_misdirected(self, now: int) -> BackendList | None:
        """Those whose addresses were another's a while ago are tried again."""
        held = (known for known in self.by_number.values() if known.misdirected_until)
        back = [known for known in held if now >= known.misdirected_until]
        for known in back:
            known.misdirected_until = 0
        return BackendList(ListKind.DELTA, tuple(self._row(known) for known in back)) if back else None

    def rezone(self, zones: Mapping[str, str]) -> BackendList:
        """Zones and their regions, as the settings have them now."""
        self.zones = zones
        for known in self.by_number.values():
            known.region = zones.get(known.record.zone)
        return BackendList(ListKind.DELTA, tuple(self._row(known) for known in self.by_number.values()))

    def zone_number(self, name: str) -> int:
        """The number of a zone."""
        return self.zone_numbers.setdefault(name, len(self.zone_numbers))

    def _row(self, known: KnownWorker) -> Backend:
        state = BackendState.GONE
        if known.record.state == WorkerState.SERVING:
            closed = known.record.zone in self.evacuated or known.misdirected_until
            state = BackendState.DRAINING if closed else BackendState.READY
        elif known.record.state == WorkerState.DRAINING:
            state = BackendState.DRAINING
        near = 1.0 if known.record.zone == self.zone else FAR_ZONE
        far = near if known.region == self.region else FAR_REGION
        zone = self.zone_number(known.record.zone)
        return Backend(known.number, zone, state=state, service=known.service, distance_factor=far)

    # For `UpstreamClient`.

    def address(self, backend: int) -> Address | None:
        """Where a worker listens; None for one to which nothing may be sent now."""
        known = self.by_number.get(backend)
        if known is None or known.misdirected_until:
            return None
        if known.record.state != WorkerState.SERVING or known.record.zone in self.evacuated:
            return None
        return known.address

    def is_listed(self, backend: int) -> bool:
        """Is it in the roster?"""
        return backend in self.by_number

    # For the gate.

    def is_warming_up(self, known: KnownWorker, now: int) -> bool:
        """Is it cold, or may it be?"""
        worker = known.record
        return worker.maybe_cold or worker.warming_until > now or self.reopened.get(worker.zone, 0) > now
