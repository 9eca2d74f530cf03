"""One running core machine: its links, its part in the agreement, its cells, what it publishes, one timer.

Thin I/O: each event goes to the part that it concerns, then `after` takes out and does what follows from it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import Any

from pepperrun.consensus.learner import BodyChange
from pepperrun.consensus.replica import Replica
from pepperrun.consensus.state import DurableState, StateStore
from pepperrun.control.cells import Cells
from pepperrun.control.changes import Verdict, apply, lean
from pepperrun.control.evacuations import Evacuations
from pepperrun.control.gateway_count import Seats
from pepperrun.control.inspection import shown
from pepperrun.control.mesh import CORE, Mesh
from pepperrun.control.quota_placement import QuotaPlacement
from pepperrun.control.records import GatewayRecord, Worker
from pepperrun.control.validation import Op
from pepperrun.distribution.digests import Sums
from pepperrun.distribution.publisher import Publisher
from pepperrun.foundation.link import OPERATOR, Link
from pepperrun.foundation.logs import event
from pepperrun.foundation.netstring import Message, encode
from pepperrun.foundation.settings import Settings

MS = 1_000_000
WATCH = 100 * MS  # between two counts of who is up: that needs 1,200 ms of silence (`consensus.voter.Pace`)
SEATS_PATIENCE = 1_500_000_000  # ns: then it is proposed anew


class Hub:
    """`Core` for the control calls, `Source` for the publisher, `User` of all links."""

    def __init__(
        self,
        settings: Settings,
        memory: DurableState,
        store: StateStore,
        life: int,
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self.settings, self.life, self.now = settings, life, clock
        me, now = settings.me, clock()
        self.loop = asyncio.get_running_loop()
        self.cells = Cells(me.ip, settings.carrier.beat_ms, now)
        self.replica = Replica(
            *(me.ip, memory, store, apply),
            zone=me.zone,
            regions=settings.network.zones,
            max_voters=2 * losses(settings) + 1,
            seed=life,
            now=now,
        )
        self.publisher = Publisher(self, self.alarm)
        self.seats, self.quota_placement = Seats(), QuotaPlacement()
        self.mesh = Mesh(me.ip, settings.network.sidings[0], self, self, self.hello)
        self.retiring = False
        self.orders: dict[int, asyncio.Future[Verdict | None]] = {}
        self.waits: dict[int, asyncio.Future[None]] = {}
        self.readers: list[tuple[int, asyncio.Future[None]]] = []
        self.evacuated: list[str] = list(self.replica.body.get("evacuated", ()))
        self.evacuations = Evacuations(self.replica.body, now)
        self.calls = 0  # to evacuate, or to end that, proposed by this process
        self.contacts = {ip for ip, _ in settings.contacts()}
        self.alone = True
        self.publish_at = self.watch_at = 0
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0
        self.inside = False

    def start(self) -> None:
        """Looks for the others."""
        self.mesh.want(self.contacts | self.replica.voter_ips, self.now())
        self.after()

    def resettle(self, settings: Settings) -> None:
        """The settings file has changed."""
        self.settings = settings
        self.contacts = {ip for ip, _ in settings.contacts()}
        self.mesh.want(self.contacts | self.replica.voter_ips, self.now())

    def hello(self) -> Message:
        """How this machine begins a link."""
        me = self.settings.me
        cores = [[me.ip, me.zone], *self.mesh.cores()]
        return {
            **{"station": me.station, "ip": me.ip, "zone": me.zone, "class": CORE},
            **{"life": self.life, "cores": cores},
        }

    # Links.

    def opened(self, link: Link, hello: Message) -> None:
        now = self.now()
        if hello["class"] == CORE:
            self.mesh.opened(link, hello, now)
        elif hello["class"] != OPERATOR:
            self.publisher.joined(link, hello, now)
        self.after()

    def heard(self, link: Link, message: Message) -> None:
        now, ip = self.now(), self.mesh.ip_of(link)
        if message["k"] == "show":
            link.send(shown(self, now))
        elif ip is None:
            self.publisher.heard(link, message, now)
        elif message["k"] == "queen":
            self.replica.receive(ip, message["m"], now)
        elif message["k"] == "peers":
            self.mesh.learn([one[0] for one in message["cores"]], now)
        elif message["k"] == "bye":
            self.cells.peers.pop(ip, None)  # no beats are sent there any more
        else:
            self.cells.receive(ip, message, now)
        self.after()

    def closed(self, link: Link) -> None:
        now = self.now()
        if self.mesh.ip_of(link) is not None:
            self.mesh.closed(link, now)
        else:
            self.publisher.left(link, now)
        self.after()

    def peer_up(self, ip: str, zone: str) -> None:
        """Another core machine is linked: the others learn of it."""
        now = self.now()
        event("peer-up", ip=ip, zone=zone)
        self.watch_at = 0
        self.replica.connected(ip, zone, now)
        self.cells.connected(ip, zone, now)
        frame = encode({"k": "peers", "cores": [[ip, zone]]})
        for other, _ in self.mesh.cores():
            if other != ip:
                self.mesh.write(other, frame)

    def peer_down(self, ip: str) -> None:
        """No link to it is left."""
        now = self.now()
        event("peer-down", ip=ip)
        self.watch_at = 0
        self.replica.disconnected(ip, now)
        self.cells.disconnected(ip, now)

    # Source of the publisher.

    @property
    def number(self) -> int:
        return max(0, self.replica.version)

    @property
    def state(self) -> dict[str, Any] | None:
        return self.replica.body or None

    @property
    def workers(self) -> Mapping[str, Worker]:
        return self.cells.workers

    @property
    def gateways(self) -> Mapping[str, GatewayRecord]:
        return self.cells.gateways

    @property
    def sums(self) -> Sums:
        return self.cells.sums

    @property
    def cores(self) -> list[list[str]]:
        return [[self.settings.me.ip, self.settings.me.zone], *self.mesh.cores()]

    def age_ms(self, now: int) -> float | None:
        at = self.replica.confirmed_at
        return None if at is None else max(0.0, (now - at) / MS)

    def beat(self, gateway: GatewayRecord, now: int) -> None:
        self.cells.gateway(gateway, now)

    def merge(self, workers: list[Worker], gateways: list[GatewayRecord], now: int) -> None:
        self.cells.merge(workers, gateways, now)

    # What calls need.

    def minority(self) -> bool:
        """Is it not linked with a majority of those that decide?"""
        return self.replica.lacks_quorum

    def voters(self) -> int:
        """How many decide."""
        return len(self.replica.voter_ips)

    def held(self, token: int) -> asyncio.Future[None]:
        """Done once enough core machines hold what the cells gave this token for."""
        future: asyncio.Future[None] = self.loop.create_future()
        if token in self.cells.waits:
            self.waits[token] = future
            future.add_done_callback(lambda _: self.waits.pop(token, None))
        else:
            future.set_result(None)
        return future

    def order(self, op: Op, patience: int) -> asyncio.Future[Verdict | None]:
        """An operator's change; None where nothing is certain."""
        op, now = lean(self.replica.body, op), self.now()
        if op["do"] == "evacuate":
            told = self.settings.tariffs.bounds.receipt_ms, now
            op = self.evacuations.order(op["zone"], op["begin"], self.replica.body, self.call_id, *told)
        token = self.replica.propose(op, now, patience)
        future: asyncio.Future[Verdict | None] = self.loop.create_future()
        self.orders[token] = future
        self.after()
        return future

    def call_id(self) -> str:
        """Of one proposal of one start of one process."""
        self.calls += 1
        return f"{self.replica.register.proposer_id}/{self.calls}"

    def fresh(self) -> asyncio.Future[None]:
        """Done once the held configuration is known to be at least as new as this call."""
        future: asyncio.Future[None] = self.loop.create_future()
        self.readers.append((self.now(), future))
        self.after()
        return future

    def body(self) -> dict[str, Any] | None:
        """The agreed state, None while none is known."""
        return self.replica.body or None

    def other(self) -> str | None:
        """The control address of a linked core machine."""
        ip = next(iter(self.cells.peers), None)
        return self.control_of(ip) if ip is not None else None

    def control_of(self, ip: str) -> str:
        """The control address of a core machine: all machines use the same ports."""
        box = self.settings.postbox("control_port")
        return f"{ip}:{box[1]}" if box is not None else ip

    # What follows.

    def alarm(self, due: int) -> None:
        """The publisher wants a turn then."""
        self.publish_at = min(self.publish_at, due) if self.publish_at else due
        if not self.inside:
            self.set_timer()

    def after(self) -> None:
        """Takes out and does what follows from what has happened."""
        if self.inside:
            return
        self.inside = True
        try:
            now = self.now()
            self.watch(now)
            self.send(self.replica.take_messages(), "queen")
            for change in self.replica.take_changes():
                self.changed(change, now)
            for result in self.replica.take_results():
                future = self.orders.pop(result.token, None)
                if future is not None and not future.done():
                    future.set_result(result.verdict)
            records = self.cells.take_changed()
            if records:
                self.publisher.changed(records, now)
            self.send(self.cells.take_out(now), "")
            for token in self.cells.take_held():
                wait = self.waits.pop(token, None)
                if wait is not None and not wait.done():
                    wait.set_result(None)
            if self.readers:
                self.release(self.replica.confirmed_at)
        finally:
            self.inside = False
        self.set_timer()

    def watch(self, now: int) -> None:
        """Notes whether there is a majority: at once where a link has come or gone, else now and then."""
        if now < self.watch_at:
            return
        self.watch_at = now + WATCH
        alone = self.replica.lacks_quorum
        if alone != self.alone:
            self.alone = alone
            event("majority", linked=int(not alone))
        self.cells.majority(not alone, now)

    def release(self, fresh_at: int | None) -> None:
        """Readers whose call came before what is held was known to be the newest."""
        if fresh_at is not None:
            for at, future in self.readers:
                if at <= fresh_at and not future.done():
                    future.set_result(None)
        self.readers = [one for one in self.readers if not one[1].done()]

    def send(self, messages: list[tuple[str, Message]], kind: str) -> None:
        """One message to several is encoded once."""
        last, frame = None, b""
        for ip, message in messages:
            if message is not last:
                last, frame = message, encode({"k": kind, "m": message} if kind else message)
            self.mesh.write(ip, frame)

    def changed(self, change: BodyChange, now: int) -> None:
        """The agreed state went on."""
        held = list(self.replica.body.get("evacuated", ()))
        for zone in set(self.evacuated) - set(held):
            self.cells.doubt(zone, now)
        self.evacuations.note(self.replica.body, now, at_once=change.operation is not None)
        self.evacuated = held
        known = (change.base_version, change.operation) if change.operation is not None else None
        what = _told(change.operation) if change.operation is not None else {}
        event("agreed", number=change.version, edition=self.replica.body.get("edition", 0), **what)
        self.publisher.agreed(known, now)
        wanted = self.contacts | self.replica.voter_ips
        if wanted - {self.settings.me.ip} != self.mesh.wanted:
            self.mesh.want(wanted, now)

    def set_timer(self) -> None:
        """One timer, for what is due first."""
        due = min(self.replica.next_tick_at(), self.cells.due())
        if self.publish_at:
            due = min(due, self.publish_at)
        if self.timer is not None:
            if self.timer_at <= due:
                return  # it will be set again then
            self.timer.cancel()
        self.timer_at = due
        self.timer = self.loop.call_at(due / 1e9, self.tick)

    def tick(self) -> None:
        """Something is due."""
        self.timer = None
        now = self.now()
        if now >= self.replica.next_tick_at():
            self.replica.tick(now)
        if now >= self.cells.due():
            self.cells.tick(now)
            self.mesh.turn(now, tidy=True)
            if self.replica.coordinator == self.settings.me.ip and not self.replica.lacks_quorum:
                gateways, body, last = self.cells.gateways.values(), self.body(), self.cells.vouching.last
                op = self.seats.wanted(gateways, body, now) or self.quota_placement.wanted(
                    gateways,
                    body,
                    lambda station: now - last("g:" + station, now),
                    self.settings.tariffs.bounds,
                    now,
                )
                told = self.settings.tariffs.bounds.receipt_ms, now
                op = op or self.evacuations.lapse(self.replica.body, self.call_id, *told)
                if op is not None:
                    self.replica.propose(op, now, SEATS_PATIENCE)
        if self.publish_at and now >= self.publish_at:
            self.publish_at = 0
            self.publisher.turn(now)
        self.after()

    # The end.

    def retire(self) -> None:
        """This process is to stop: its duty goes to another, the others are told."""
        self.retiring = True
        self.replica.request_stop(self.now())
        for ip, _ in self.mesh.cores():
            self.mesh.send(ip, {"k": "bye"})
        self.after()

    def close(self) -> None:
        """Ends all links."""
        if self.timer is not None:
            self.timer.cancel()
        self.inside = True
        self.mesh.close()


def _told(op: Op) -> dict[str, Any]:
    """What a line of the log says of an operation."""
    return {"do": op["do"]} | {name: op[name] for name in ("zone", "begin") if name in op}


def losses(settings: Settings) -> int:
    """Core machines that may be lost at once: a region may hold several zones, each with some."""
    bear, zones = settings.tariffs.withstand, settings.network.zones
    sizes: dict[str, int] = {}
    for region in zones.values():
        sizes[region] = sizes.get(region, 0) + 1
    largest = sorted(sizes.values(), reverse=True)[: bear.regions]
    return max(1, bear.vehicles, bear.zones, sum(largest))
