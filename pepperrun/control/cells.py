"""Cells (who is there): for each zone its workers and gatekeepers, kept by every core machine.

The deciding half, without I/O. Beats come in at any core machine; what they change is pushed to the others,
and copies are compared by digests over ranges each second (`distribution.repair`). That a beat came and
changed nothing is told compactly: a core machine vouches for those it hears until it tells otherwise
(`control.vouching`). Each core machine that is linked with a majority concludes for itself that a worker is
lost whom nobody has vouched for in LOST_BEATS beats and a second; a later beat undoes it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Any, NamedTuple

from bidict import bidict

from pepperrun.control.records import BOARDING, GONE, LOST, READY, UNLOADING, GatewayRecord, Worker
from pepperrun.control.vouching import Vouching
from pepperrun.distribution import repair
from pepperrun.distribution.digests import Record, Sums, newer, record_id
from pepperrun.foundation.netstring import Message

MS = 1_000_000
SECOND = 1000 * MS
BATCH = 50 * MS  # changes that need no haste go together
ROUND = SECOND  # between two tellings of whom one hears, and two comparisons
LOST_BEATS = 3
GUARD_SILENT = 2 * SECOND  # a gatekeeper not heard for so long is not told to clients
GUARD_GONE = 60 * SECOND
KEPT = 60 * SECOND  # records of workers that are gone
FORGOTTEN = 600 * SECOND  # workers lost for so long are gone
COLD_SLACK = 250 * MS  # a cold time that moves by less has not changed


class Beat(NamedTuple):
    """A worker's word of itself. `cold`: ns."""

    id: str
    service: str
    address: str
    zone: str
    edition: str
    slots: int
    state: str
    cold: int
    serial: int


@dataclass(slots=True)
class Wait:
    """Others are asked to hold something before it is acknowledged."""

    needed: int  # core machines besides this one
    held: set[str]


class Cells:
    """One core machine's copy. Times are steady ns. Peers are other core machines, by ip.

    After each call: `take_out` gives messages with the ips they go to, `take_changed` records for the data
    plane, `take_held` tokens of `beat` and `leave` that enough core machines hold by now.
    """

    def __init__(self, me: str, beat_ms: float, now: int) -> None:
        self.me = me
        self.silent = int(LOST_BEATS * beat_ms * MS) + SECOND
        self.workers: dict[str, Worker] = {}
        self.gateways: dict[str, GatewayRecord] = {}
        self.sums = Sums()
        self.peers: dict[str, str] = {}  # linked core machines: ip, zone
        self.since: int | None = None  # linked with a majority since then
        self.holders: bidict[str, str] = bidict()  # address: the worker that has it
        self.serials: dict[str, int] = {}  # of the last beat heard here, where no record tells it
        self.ended: dict[str, int] = {}  # worker's id: since when its record is final or lost
        self.vouching = Vouching(int(1.5 * beat_ms * MS), now)
        self.urgent: dict[str, Record] = {}  # to be pushed at once
        self.lazy: dict[str, Record] = {}  # within BATCH
        self.flush_at = 0  # when `lazy` goes; 0: nothing there
        self.round_at = now + ROUND
        self.changed: dict[str, Record] = {}
        self.waits: dict[int, Wait] = {}
        self.tokens = 0
        self.done: list[int] = []
        self.out: list[tuple[str, Message]] = []
        self.turns = 0

    # Core machines.

    def connected(self, ip: str, zone: str, now: int) -> None:
        """A link to another core machine is up: it is told whom one hears, and asked what differs."""
        self.peers[ip] = zone
        self.out.append((ip, self.vouching.all(now)))
        self.out.append((ip, repair.ask(self)))

    def disconnected(self, ip: str, now: int) -> None:
        """The last link to it is gone."""
        self.peers.pop(ip, None)
        self.vouching.left(ip)

    def majority(self, linked: bool, now: int) -> None:
        """Is this machine linked with a majority of those that decide?"""
        if not linked:
            self.since = None
        elif self.since is None:
            self.since = now

    def receive(self, ip: str, message: Message, now: int) -> bool:
        """A message of a linked core machine; False where its kind is not one of the cells'."""
        kind = message["k"]
        if kind == "vouch":
            self.vouching.told(ip, message, now)
        elif kind in ("cells", "ask", "digests"):
            self.out += [(ip, back) for back in repair.heard(self, self.merge, message, now)]
            if "a" in message:
                self.out.append((ip, {"k": "held", "a": message["a"]}))
        elif kind == "held":
            self._held(ip, message["a"])
        else:
            return False
        return True

    # Workers.

    def beat(self, beat: Beat, needed: int, now: int) -> int | None:
        """Takes a beat. A token where it is to be acknowledged only once `needed` others hold it."""
        old = self.workers.get(beat.id)
        if old is None:
            self._displace(beat, now)
        elif old.state == GONE:
            return None
        last = max(self.serials.get(beat.id, -1), old.serial if old is not None else -1)
        leaving = beat.state == UNLOADING
        if old is None or beat.serial > last or (leaving and old.state != UNLOADING):
            self.serials[beat.id] = max(last, beat.serial)
            self._hear("w:" + beat.id, now)
            self._take(self._merged(old, beat, now), now, urgent=leaving or old is None or old.state == LOST)
        return self._wait(beat.id, needed, now) if leaving and needed else None

    def _hear(self, id: str, now: int) -> None:
        self.vouching.hear(id, now)
        if self.vouching.new:
            self.flush_at = self.flush_at or now + BATCH

    def _merged(self, old: Worker | None, beat: Beat, now: int) -> Worker:
        """The record after a beat; the old one, serial and all, where nothing has changed."""
        cold = now + beat.cold if beat.cold > 0 else 0
        state = UNLOADING if old is not None and old.state == UNLOADING else beat.state
        new = Worker(
            *(beat.id, beat.service, beat.address, beat.zone, beat.edition, beat.slots),
            *(max(beat.serial, old.serial if old is not None else 0), state, cold),
        )
        if old is None:
            return new
        as_cold = abs(max(old.cold_until, now) - max(cold, now)) <= COLD_SLACK
        if as_cold and replace(new, serial=old.serial, cold_until=old.cold_until) == old:
            return old
        return new

    def _displace(self, beat: Beat, now: int) -> None:
        """An address belongs to its newest life: who had it before has ended without a word."""
        other = self.workers.get(self.holders.get(beat.address, ""))
        if other is not None and other.id != beat.id and other.state in (BOARDING, UNLOADING):
            state: Any = LOST if other.state == BOARDING else GONE
            self._take(replace(other, state=state, serial=self._serial(other)), now, urgent=True)
        self.holders.forceput(beat.address, beat.id)

    def _serial(self, worker: Worker) -> int:
        return max(worker.serial, self.serials.get(worker.id, 0))

    def leave(self, id: str, needed: int, now: int) -> int | None:
        """A worker ends. A token as for `beat`; None where it is not known or needs no wait."""
        old = self.workers.get(id)
        if old is None:
            return None
        if old.state != GONE:
            self._take(replace(old, state=GONE, serial=self._serial(old)), now, urgent=True)
        return self._wait(id, needed, now) if needed else None

    def _wait(self, id: str, needed: int, now: int) -> int:
        """Pushes the record to all with a request to say that it is held."""
        self.tokens += 1
        self.waits[self.tokens] = Wait(needed, set())
        self._tell(repair.rows([self.workers[id]], now) | {"a": self.tokens})
        self.urgent.pop("w:" + id, None)
        return self.tokens

    def _held(self, ip: str, token: int) -> None:
        wait = self.waits.get(token)
        if wait is not None:
            wait.held.add(ip)
            if len(wait.held) >= wait.needed:
                del self.waits[token]
                self.done.append(token)

    def give_up(self, token: int) -> None:
        """Nobody waits for it any more."""
        self.waits.pop(token, None)

    def doubt(self, zone: str, now: int) -> None:
        """A zone's workers may have turned cold: each counts as cold until its next beat."""
        for worker in [one for one in self.workers.values() if one.zone == zone and one.state == BOARDING]:
            if not worker.unsure:
                self._take(replace(worker, unsure=True, serial=self._serial(worker)), now, urgent=True)

    # Gatekeepers.

    def gateway(self, row: GatewayRecord, now: int) -> None:
        """A gatekeeper's own word on its own link. Who had been given up for gone is there after all."""
        self._hear("g:" + row.station, now)
        held = self.gateways.get(row.station)
        if held is not None and held.life == row.life and held.serial == row.serial and held.state == GONE:
            row = replace(row, serial=row.serial + 1)
        if newer(held, row):
            self._take(row, now, urgent=True)

    def ready_gateways(self, now: int) -> list[GatewayRecord]:
        """Those that clients may be sent to."""
        heard = self.vouching.last
        return [
            one
            for name, one in self.gateways.items()
            if one.state == READY and now - heard("g:" + name, now) < GUARD_SILENT
        ]

    # Records.

    def held(self, id: str) -> Record | None:
        """By the id that `record_id` gives."""
        return self.workers.get(id[2:]) if id.startswith("w:") else self.gateways.get(id[2:])

    def merge(self, workers: Iterable[Worker], gateways: Iterable[GatewayRecord], now: int) -> None:
        """Rows of others: the newer ones count."""
        for worker in workers:
            old = self.workers.get(worker.id)
            if not newer(old, worker) or old is None and worker.state == GONE:
                continue
            self._put(worker, now)
            self._reassert(worker, now)
            if old is None and worker.state != LOST:
                self.holders.forceput(worker.address, worker.id)
        for gateway in gateways:
            held = self.gateways.get(gateway.station)
            if newer(held, gateway) and not (held is None and gateway.state == GONE):
                self._put(gateway, now)

    def _reassert(self, worker: Worker, now: int) -> None:
        """Another one took for lost whom this machine hears: its last beat says otherwise."""
        serial = self.serials.get(worker.id, -1)
        if worker.state == LOST and serial > worker.serial and self.vouching.hears("w:" + worker.id, now):
            self._take(replace(worker, state=BOARDING, serial=serial), now, urgent=True)

    def _put(self, record: Record, now: int) -> None:
        key = record_id(record)
        if isinstance(record, Worker):
            self.sums.swap(self.workers.get(record.id), record)
            self.workers[record.id] = record
            if record.state in (LOST, GONE):
                self.ended[record.id] = now
                if self.holders.inv.get(record.id) is not None:
                    del self.holders.inv[record.id]
            else:
                self.ended.pop(record.id, None)
        else:
            self.sums.swap(self.gateways.get(record.station), record)
            self.gateways[record.station] = record
        self.changed[key] = record
        self.vouching.known(key, record.state not in (LOST, GONE), now)

    def _take(self, record: Record, now: int, urgent: bool) -> None:
        """A change that began here: others are to know."""
        key = record_id(record)
        if self.held(key) is record:
            return
        self._put(record, now)
        if urgent:
            self.lazy.pop(key, None)
            self.urgent[key] = record
        elif key not in self.urgent:
            self.lazy[key] = record
            self.flush_at = self.flush_at or now + BATCH

    # Time.

    def due(self) -> int:
        """When `tick` is to be called at the latest."""
        return min(self.round_at, self.flush_at) if self.flush_at else self.round_at

    def tick(self, now: int) -> None:
        """Does what is due."""
        if self.flush_at and now >= self.flush_at:
            self._flush(self.lazy, now)
            if self.vouching.new:
                self._tell(self.vouching.added())
            self.flush_at = 0
        if now < self.round_at:
            return
        if now - self.round_at > SECOND:
            self.since = now if self.since is not None else None  # it slept: others may have spoken meanwhile
        self.round_at = now + ROUND
        self.turns += 1
        self._tell(self.vouching.round(now))
        self._conclude(now)
        if self.peers:
            peers = sorted(self.peers)
            self.out.append((peers[self.turns % len(peers)], repair.ask(self)))

    def _conclude(self, now: int) -> None:
        """Who has been silent for too long is lost, or gone; who has been gone for long is forgotten."""
        since, last = self.since, self.vouching.last
        for name, gateway in list(self.gateways.items()):
            silent = now - last("g:" + name, now)
            if gateway.state == GONE and silent > GUARD_GONE + KEPT:
                del self.gateways[name]
                self.vouching.forget("g:" + name)
            elif since is not None and gateway.state != GONE and silent > GUARD_GONE < now - since:
                self._put(replace(gateway, state=GONE), now)
        for id, worker in list(self.workers.items()):
            if worker.state in (BOARDING, UNLOADING):
                heard = last("w:" + id, now)
                if since is not None and now - max(heard, since) > self.silent:
                    state: Any = LOST if worker.state == BOARDING else GONE
                    self._put(replace(worker, state=state), now)
            elif worker.state == LOST and now - self.ended.get(id, now) > FORGOTTEN:
                self._put(replace(worker, state=GONE), now)
            elif worker.state == GONE and now - self.ended.get(id, now) > KEPT:
                del self.workers[id]
                self.ended.pop(id, None)
                self.serials.pop(id, None)
                self.vouching.forget("w:" + id)

    def _tell(self, message: Message) -> None:
        self.out.extend((ip, message) for ip in self.peers)

    def _flush(self, records: dict[str, Record], now: int) -> None:
        if records:
            self._tell(repair.rows(records.values(), now))
            records.clear()

    def take_out(self, now: int) -> list[tuple[str, Message]]:
        """Messages with the ips they go to."""
        self._flush(self.urgent, now)
        out, self.out = self.out, []
        return out

    def take_changed(self) -> list[Record]:
        """Records that have changed since."""
        changed, self.changed = list(self.changed.values()), {}
        return changed

    def take_held(self) -> list[int]:
        """Tokens that need no more waiting."""
        done, self.done = self.done, []
        return done

    def forward(self, id: str, zone: str, own: str, regions: Mapping[str, str]) -> str | None:
        """The ip of the core machine that should get this worker's beats, None for this one.

        Of those in its zone, else its region, else all: the one with the highest hash with the worker's id,
        so that workers spread evenly and stay where they are as machines come and go.
        """
        near = {self.me: own} | self.peers
        for wanted in ([zone], [z for z in regions if regions[z] == regions.get(zone)]):
            some = [ip for ip, place in near.items() if place in wanted]
            if some:
                break
        else:
            some = list(near)
        best = max(some, key=lambda ip: blake2b(f"{ip} {id}".encode(), digest_size=8).digest())
        return None if best == self.me else best
