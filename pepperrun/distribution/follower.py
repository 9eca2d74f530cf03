"""The deciding half of a gatekeeper's part in distribution: whom it follows and what it asks for.

It follows one core machine (ticks, freshness, repair) and one parent in the tree (pushes), or takes the
pushes from the core machine as its zone's root. What tocks prove: `distribution.freshness`; in which order
core machines and parents are tried: `distribution.core_selection`, `distribution.parent_selection`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from pepperrun.control.records import GatewayRecord
from pepperrun.distribution import repair
from pepperrun.distribution.book import NewsBook
from pepperrun.distribution.core_selection import CoreSelection
from pepperrun.distribution.freshness import meet, note_digest, note_proof, prove
from pepperrun.distribution.messages import AGREED, CHANGE, TOCK, Agreed, Change, Tick, Tock
from pepperrun.distribution.own_record import OwnRecord
from pepperrun.distribution.parent_selection import ParentSelection
from pepperrun.distribution.publisher import Port, seal
from pepperrun.distribution.uplink import MEND_NS, MS, SILENT_NS, Uplink
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import event, trouble
from pepperrun.foundation.netstring import Message, encode
from pepperrun.foundation.settings import Address

TICK_NS = 400 * MS
FIRST_NS = TICK_NS // 4  # until a tock has proved anything: keyed requests wait for it
DOWN_NS, QUIET_NS = 250 * MS, 600 * MS  # not up, or a tock late: another one is tried beside it
STALE_MS = 1200  # a core machine that knows no better than this has lost the others
STALE_NS = 1000 * MS  # and for so long: one late word among core machines is no reason to move
LAG_NS = 600 * MS  # a parent has mended itself by then, or is cut off
STOOD_NS = 600 * MS  # between two turns: this process stood still
SWEEP_NS = 120_000 * MS  # between two looks for records that may be forgotten

Apply = Callable[[dict[str, Any] | None, dict[str, Any]], tuple[dict[str, Any] | None, Any]]


class Follower:
    """`row` gives the own record as it is; `apply` an operation's effect.

    Links that should be up are in `wanted`; whoever keeps them tells `opened`, `heard`, `closed` and calls
    `turn` when `due` says, and looks at `wanted` after each.
    """

    def __init__(
        self,
        own: tuple[str, str, Address],
        zones: Mapping[str, str],
        contacts: list[Address],
        row: Callable[[], GatewayRecord],
        apply: Apply,
        now: int,
    ) -> None:
        self.station, self.zone, internal_port = own
        self.apply = apply
        self.book = NewsBook()
        self.book.on_agreed.append(lambda number, state, change: self._number_grew())
        self.own_record = OwnRecord(self.station, row)
        self.cores = CoreSelection(self.station, self.zone, internal_port[1], zones, contacts)
        self.parents = ParentSelection(self.station, self.zone)
        self.core = Uplink(self.cores.best(self.book.cores, now), "", now)
        self.other: Uplink | None = None  # a core machine that is tried while the present one is kept
        self.parent: Uplink | None = None
        self.next_tick = self.swept = self.turned_at = now

    # Whom to follow.

    def _links(self) -> list[Uplink]:
        return [link for link in (self.core, self.other, self.parent) if link is not None]

    def wanted(self) -> set[Address]:
        """Addresses to which links are to be kept."""
        return {link.address for link in self._links()}

    def _leave_core(self, now: int, why: str) -> None:
        core = self.core
        event("core-left", peer=core.address[0], why=why, silent_ms=(now - core.waited_since()) // MS)
        self.cores.avoid(core.address, now)
        core.close()
        if self.other is not None:
            self.core, self.other = self.other, None
        else:
            self.core = Uplink(self.cores.best(self.book.cores, now), "", now)

    def _drop_other(self, now: int) -> None:
        if self.other is not None:
            self.cores.avoid(self.other.address, now)
            self.other.close()
            self.other = None

    def _quiet_at(self) -> int:
        """When the core machine has been waited for long enough to try another one beside it."""
        core = self.core
        return core.since + DOWN_NS if core.port is None else core.heard_at + QUIET_NS

    def _try_another(self, now: int) -> None:
        """A nearer one, or one that may answer sooner; the present one is left when that one has answered."""
        near = self.cores.nearness(self.core.address)
        if self.other is None and (near or now >= self._quiet_at()):
            best = self.cores.best(self.book.cores, now, but=self.core.address)
            nearer = self.cores.nearness(best) < near and self.cores.usable(best, now)
            if best != self.core.address and (nearer or now >= self._quiet_at()):
                self.other = Uplink(best, "", now)

    def _move(self, now: int) -> None:
        """Another core machine has answered well."""
        other, core = self.other, self.core
        if other is None:
            return
        self.other = None
        near = self.cores.nearness(core.address) <= self.cores.nearness(other.address)
        if near and now < self._quiet_at():
            other.close()  # the present one has answered meanwhile
            return
        event("core-moved", peer=other.address[0], before=core.address[0])
        self.core = other
        core.close()
        self._begin(other, now)
        self._tick(other, now)

    def _shun(self, now: int, why: str) -> None:
        """The parent is no good: the next one, or the core."""
        parent = self.parent
        if parent is not None:
            event("parent-left", peer=parent.station, why=why)
            self.parents.shun(parent.station, now)
            parent.close()
            self.parent = None
        self._choose_parent(now)

    def _choose_parent(self, now: int) -> None:
        best = self.parents.best(self.book.gateways.values(), now)
        parent = self.parent
        if parent is not None:
            if best == (parent.station, parent.address):
                return
            parent.close()
        self.parent = Uplink(best[1], best[0], now) if best is not None else None

    @property
    def root(self) -> bool:
        """Whether the pushes come from the core: no parent has answered yet."""
        return self.parent is None or not self.parent.number

    # What happens on links.

    def opened(self, address: Address, port: Port, hello: Message, now: int) -> None:
        """A link to a wanted address is up."""
        for link in self._links():
            if link.address != address:
                continue
            fresh = Uplink(address, link.station, now, port, heard_at=now)
            if link is self.parent:
                self.parent = fresh
            elif link is self.other:
                self.other = fresh
            else:
                self.core = fresh
                self.cores.zone_of.setdefault(address[0], str(hello.get("zone", "")))
                self._begin(fresh, now)
            self._tick(fresh, now)

    def _begin(self, link: Uplink, now: int) -> None:
        """Who holds nothing yet does not wait until something is known to be missing."""
        if not self.book.number:
            link.want(self.book, now)
        if not self.book.sums.sums:
            link.ask(self.book, now)

    def closed(self, address: Address, port: Port, now: int) -> None:
        """A link has ended."""
        if self.core.port is port:
            self.core.port = None
            self._leave_core(now, "closed")
        elif self.other is not None and self.other.port is port:
            self._drop_other(now)
        elif self.parent is not None and self.parent.port is port:
            self.parent.port = None
            self._shun(now, "closed")

    def _link(self, port: Port) -> Uplink | None:
        return next((link for link in self._links() if link.port is port), None)

    def stirred(self, port: Port, now: int) -> None:
        """A long message is on its way up, with the answers behind it: whoever sends it is not silent."""
        link = self._link(port)
        if link is not None:
            link.heard_at = now

    def heard(self, port: Port, message: Message, now: int) -> None:
        """A message came up on one of the own uplinks. KeyError and the like where it can't be meant."""
        link = self._link(port)
        if link is None:
            return
        link.heard_at = now
        kind = message["k"]
        if kind == TOCK:
            self._tock(link, Tock.read(message), now)
        elif kind == AGREED:
            agreed = Agreed.read(message)
            self.book.take_agreed(agreed.number, agreed.state)
        elif kind == CHANGE:
            self._change(link, Change.read(message), now)
        elif kind in ("cells", "digests", "ask"):
            for back in repair.heard(self.book, self.merge, message, now):
                port.write(encode(back))
            self._records_met()

    def merge(self, workers: list[Any], gateways: list[Any], now: int) -> None:
        """Takes rows that came from anyone."""
        _, changed = self.book.take_cells(workers, gateways)
        if any(gateway.zone == self.zone for gateway in changed):
            if any(gateway.name == self.station for gateway in changed):
                self.tell(now)
            self._choose_parent(now)

    def _tock(self, link: Uplink, tock: Tock, now: int) -> None:
        if not link.answers(tock.tick_sent_at):
            return
        link.number = tock.number
        if tock.cores is not None and link is self.core:
            self.book.cores = tock.cores
            self.cores.learn(tock.cores)
        if tock.age_ms is None or tock.age_ms > STALE_MS:
            link.stale_since = link.stale_since or now
        else:
            link.stale_since = 0
            self.cores.forgive(link.address)
            if link is self.other:
                self._move(now)
        note_proof(link, tock)
        if tock.number > self.book.number:
            link.behind_since = link.behind_since or now
        prove(self.book, link)
        self._parent_lags(now)
        if link is self.core or not self._core_well(now):
            note_digest(self.book, link, tock, now)
            self._records_met()

    def _parent_lags(self, now: int) -> None:
        parent = self.parent
        if parent is None:
            return
        if not parent.number or parent.number >= self.core.number:
            parent.lag_since = 0
        elif not parent.lag_since:
            parent.lag_since = now
        elif now - parent.lag_since > LAG_NS:
            self._shun(now, "behind")

    def _number_grew(self) -> None:
        for link in self._links():
            prove(self.book, link)

    def _records_met(self) -> None:
        meet(self.book, self._links(), self.core)

    def _change(self, link: Uplink, change: Change, now: int) -> None:
        if change.number <= self.book.number:
            return
        if change.base != self.book.number:
            if now - link.wanted_at >= MEND_NS:  # else it is on its way, or `turn` asks again
                link.want(self.book, now)
            return
        state, _ = self.apply(self.book.state, change.operation)
        if state is None or seal(state) != change.seal:
            which = f"number {change.number}"
            trouble(PepperrunError("change-unlike", "taking a change", which, link.station or "core"))
            link.want(self.book, now, whole=True)
            return
        self.book.take_agreed(change.number, state, (change.base, change.operation))

    # What is due.

    def _tick(self, link: Uplink, now: int) -> None:
        if link.port is None:
            return
        if link is self.parent:
            link.tick(Tick(now, self.book.number, attaches=True))
            return
        record = self.own_record.current(self.book)
        told = record if record != link.said else None
        link.said = record
        link.tick(Tick(now, self.book.number, self.root and link is self.core, told))

    def moved(self, now: int) -> None:
        """Who is thought to be there may have changed."""
        self._choose_parent(now)

    def tell(self, now: int) -> None:
        """The own row has changed: the core hears of it now."""
        self._tick(self.core, now)

    def _core_well(self, now: int) -> bool:
        core = self.core
        return core.port is not None and now - core.heard_at <= SILENT_NS and not core.stale_since

    def turn(self, now: int) -> None:
        """Does what is due."""
        if now - self.turned_at > STOOD_NS:
            for link in self._links():
                link.pardon(now)
        self.turned_at = now
        self._leave_silent(now)
        for link in self._mending(now):
            link.mend(self.book, now, TICK_NS)
        self._try_another(now)
        if now >= self.next_tick:
            self._tick_all(now)

    def _leave_silent(self, now: int) -> None:
        """Whoever does not come up or answer is left."""
        core = self.core
        if core.port is None:
            if now - core.since > SILENT_NS:
                self._leave_core(now, "not up")
        elif now - core.heard_at > SILENT_NS:
            self._leave_core(now, "silent")
        elif core.stale_since and now - core.stale_since > STALE_NS:
            self._leave_core(now, "stale")
        if self.other is not None and now - self.other.since > SILENT_NS:
            self._drop_other(now)
        if self.parent is not None and self.parent.silent(now):
            self._shun(now, "silent" if self.parent.port else "not up")

    def _tick_all(self, now: int) -> None:
        self.next_tick = now + (TICK_NS if self.book.fresh_at else FIRST_NS)
        if now - self.swept > SWEEP_NS:
            self.swept = now
            self.book.sweep()
        self._choose_parent(now)
        for link in self._links():
            self._tick(link, now)

    def _mending(self, now: int) -> list[Uplink]:
        """Where what is missing is asked for: at the core, and while that does not answer at the parent."""
        parent = None if self._core_well(now) else self.parent
        return [link for link in (self.core, parent) if link is not None and link.port is not None]

    def due(self, now: int) -> int:
        """When `turn` has something to do."""
        due = [self.next_tick]
        due += [link.waited_since() + SILENT_NS + MS for link in self._links()]
        if self.other is None and (quiet := self._quiet_at()) > now:
            due.append(quiet)
        for link in self._mending(now):
            due += link.mend_due(TICK_NS)
        return min(due)
