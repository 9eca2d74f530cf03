"""The workers that this gatekeeper knows: numbers, addresses, zones, and which are warming up or excluded."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from pepperrun.control.records import Worker, WorkerState
from pepperrun.core.interface import Backend, BackendList, BackendState, ListKind
from pepperrun.dataplane.numbering import Numbering, name_hash
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import log_error
from pepperrun.foundation.settings import Address, parse_address

SECOND = 1_000_000_000
# After an evacuation the workers of a zone count as warming up until their heartbeats must have arrived.
REOPENED_NS = 4 * SECOND
MISDIRECTED_NS = 3 * SECOND  # after a 421 (another worker has the address), or until a new record
# How much slower a worker counts for its distance; SYSTEM.md, Prices, has the prices behind it.
OTHER_ZONE_FACTOR, OTHER_REGION_FACTOR = 1.02, 2.2


class KnownWorker:
    """One incarnation of a worker. `number` stands for its id in the core."""

    __slots__ = ("address", "misdirected_until", "number", "record", "region", "service")

    def __init__(self, record: Worker, number: int, service: int, region: str | None, where: Address) -> None:
        self.record, self.number, self.service = record, number, service
        self.region, self.address = region, where
        self.misdirected_until = 0  # until then another worker is known to have its address


class WorkerTable:
    """All workers that are listed. Implements the directory that `UpstreamClient` needs."""

    def __init__(self, numbering: Numbering, zones: Mapping[str, str], zone: str, region: str) -> None:
        self.numbering, self.zones, self.zone, self.region = numbering, zones, zone, region
        self.by_number: dict[int, KnownWorker] = {}
        self.id_by_number: dict[int, str] = {}
        self.number_by_id: dict[str, int] = {}
        self.zone_numbers: dict[str, int] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.reopened_until: dict[str, int] = {}  # by zone: until then its workers may be warming up

    def number_for(self, name: str) -> int:
        """Returns the number of a worker's id, which is assigned at the first call."""
        if name not in self.number_by_id:
            number = name_hash(name)
            while number in self.id_by_number:
                number = (number + 1) % 2**32
            self.number_by_id[name], self.id_by_number[number] = number, name
        return self.number_by_id[name]

    def update(self, workers: Iterable[Worker]) -> BackendList:
        """Applies records that are new or have changed; returns the changes for the core."""
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
            changed.append(self._backend(known))
        for row in changed:
            if row.state is BackendState.GONE and row.id not in self.by_number:
                self.number_by_id.pop(self.id_by_number.pop(row.id, ""), None)
        return BackendList(ListKind.DELTA, tuple(changed))

    def evacuate(self, zones: frozenset[str], now: int) -> BackendList | None:
        """Sets the zones that get no requests; returns the changes for the core, None if there are none."""
        if zones == self.evacuated:
            return None
        affected = zones ^ self.evacuated
        for zone in self.evacuated - zones:
            self.reopened_until[zone] = now + REOPENED_NS
        self.evacuated = zones
        backends = [
            self._backend(known) for known in self.by_number.values() if known.record.zone in affected
        ]
        return BackendList(ListKind.DELTA, tuple(backends)) if backends else None

    def mark_misdirected(self, number: int, now: int) -> BackendList | None:
        """Notes that another worker answered at the address of this one."""
        known = self.by_number.get(number)
        if known is None:
            return None
        known.misdirected_until = now + MISDIRECTED_NS
        return BackendList(ListKind.DELTA, (self._backend(known),))

    def restore_misdirected(self, now: int) -> BackendList | None:
        """Tries workers again whose address belonged to another worker a while ago."""
        misdirected = (known for known in self.by_number.values() if known.misdirected_until)
        restored = [known for known in misdirected if now >= known.misdirected_until]
        for known in restored:
            known.misdirected_until = 0
        return (
            BackendList(ListKind.DELTA, tuple(self._backend(known) for known in restored))
            if restored
            else None
        )

    def update_zones(self, zones: Mapping[str, str]) -> BackendList:
        """Applies the zones and their regions of changed settings."""
        self.zones = zones
        for known in self.by_number.values():
            known.region = zones.get(known.record.zone)
        return BackendList(ListKind.DELTA, tuple(self._backend(known) for known in self.by_number.values()))

    def zone_number(self, name: str) -> int:
        """Returns the number of a zone, which is assigned at the first call."""
        return self.zone_numbers.setdefault(name, len(self.zone_numbers))

    def _backend(self, known: KnownWorker) -> Backend:
        state = BackendState.GONE
        if known.record.state == WorkerState.SERVING:
            excluded = known.record.zone in self.evacuated or known.misdirected_until
            state = BackendState.DRAINING if excluded else BackendState.READY
        elif known.record.state == WorkerState.DRAINING:
            state = BackendState.DRAINING
        in_region = 1.0 if known.record.zone == self.zone else OTHER_ZONE_FACTOR
        distance = in_region if known.region == self.region else OTHER_REGION_FACTOR
        zone = self.zone_number(known.record.zone)
        return Backend(known.number, zone, state=state, service=known.service, distance_factor=distance)

    # For `UpstreamClient`.

    def address(self, backend: int) -> Address | None:
        """Returns the address of a worker; None where nothing may be sent to it now."""
        known = self.by_number.get(backend)
        if known is None or known.misdirected_until:
            return None
        if known.record.state != WorkerState.SERVING or known.record.zone in self.evacuated:
            return None
        return known.address

    def is_listed(self, backend: int) -> bool:
        """Returns whether the worker is listed."""
        return backend in self.by_number

    # For the gate.

    def is_warming_up(self, known: KnownWorker, now: int) -> bool:
        """Returns whether a worker is warming up, or may be."""
        worker = known.record
        return (
            worker.maybe_cold or worker.warming_until > now or self.reopened_until.get(worker.zone, 0) > now
        )
