"""The deciding half of a gatekeeper's part in distribution: whom it follows, how fresh what it holds is.

It follows one core machine (ticks, freshness, repair) and one parent in the tree (pushes), or takes the
pushes from the core machine as its zone's root.

Why freshness is safe: a tick carries this process's own steady clock `t`; the tock to it is made later, by
someone who knows that all that was acknowledged before `age` ms ago is in its number `n`. So what was
acknowledged before `t - age` is in `n`, and it is held here once the number held is `n` or more. How long
tick and tock took, or how long this process stood still between them, only makes `t` older. A tock counts
on the link that its tick was sent on and once: nothing that comes twice or from an earlier link is believed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from pepperrun.control.records import GatewayRecord
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import event, trouble
from pepperrun.foundation.netstring import Message, encode
from pepperrun.foundation.settings import Address
from pepperrun.distribution import repair
from pepperrun.distribution.book import NewsBook
from pepperrun.distribution.publisher import Port, seal
from pepperrun.distribution.tree import parents, spread

MS = 1_000_000
TICK_NS = 400 * MS
FIRST_NS = TICK_NS // 4  # until a tock has proved anything: keyed requests wait for it
SILENT_NS = 1000 * MS  # two ticks without an answer and a half: the other machine is gone, cut off or stuck
DOWN_NS, QUIET_NS = 250 * MS, 600 * MS  # not up, or a tock late: another one is tried beside it
STALE_MS = 1200  # a core machine that knows no better than this has lost the others
STALE_NS = 1000 * MS  # and for so long: one late word among core machines is no reason to move
MEND_NS = 250 * MS  # what is known to be missing comes down the tree within this, or is asked for
AVOID_NS = 2000 * MS  # a core machine that failed is passed over for so long, and longer each time
AVOID_MOST_NS = 16000 * MS
SHUN_NS = 4000 * MS  # a parent likewise; the tree is less urgent than freshness
LAG_NS = 600 * MS  # a parent has mended itself by then, or is cut off
STOOD_NS = 600 * MS  # between two turns: this process stood still
SWEEP_NS = 120_000 * MS  # between two looks for records that may be forgotten
STAMPS = 16  # ticks without an answer that are remembered

Apply = Callable[[dict[str, Any] | None, dict[str, Any]], tuple[dict[str, Any] | None, Any]]


@dataclass(slots=True)
class Uplink:
    """A link to whom this process follows."""

    address: Address
    station: str  # of the parent; "" for a core machine
    since: int  # when it was chosen
    port: Port | None = None
    heard_at: int = 0  # since when it is silent
    number: int = 0  # what it holds, by its last tock
    stale_since: int = 0
    behind_since: int = 0  # since when this process lacks its number
    lag_since: int = 0  # since when it lacks the number that the core told
    differ_since: int = 0  # since when the digests have not met
    asked_at: int = 0
    wanted_at: int = 0
    said: list[Any] | None = None  # own row as last told on this link
    stamps: deque[int] = field(default_factory=lambda: deque(maxlen=STAMPS))
    proofs: list[tuple[int, int]] = field(default_factory=list)  # number, fresh_at once that is held
    goal: tuple[str, int] = ("", 0)  # digest of its cells, and when


class Follower:
    """`row` gives the own record as it is; `apply` an operation's effect; `standing` whether a peer is there.

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
        self.station, self.zone, self.internal_port = own
        self.zones, self.contacts, self.row, self.apply = zones, contacts, row, apply
        self.book = NewsBook()
        self.book.on_agreed.append(lambda number, state, change: self._number_grew())
        self.standing: Callable[[str], bool] = lambda station: True
        self.avoided: dict[Address, tuple[int, int]] = {}  # until when, and for how long
        self.zone_of: dict[str, str] = {}  # of core machines by ip, as learnt from their hello and lists
        self.core = Uplink(self._best_core(now), "", now)
        self.other: Uplink | None = None  # a core machine that is tried while the present one is kept
        self.parent: Uplink | None = None
        self.shunned: dict[str, int] = {}
        self.next_tick = self.swept = self.turned_at = now
        self.life_of_row = (0, 0)  # life and serial that go before what others hold of this station

    # Whom to follow.

    def _links(self) -> list[Uplink]:
        return [link for link in (self.core, self.other, self.parent) if link is not None]

    def wanted(self) -> set[Address]:
        """Addresses to which links are to be kept."""
        return {link.address for link in self._links()}

    def _nearness(self, ip: str) -> int:
        zone = self.zone_of.get(ip)
        if zone == self.zone:
            return 0
        return 1 if zone is not None and self.zones.get(zone) == self.zones.get(self.zone) else 2

    def _best_core(self, now: int, but: Address | None = None) -> Address:
        """The nearest that has not failed lately; first contacts only where none of the core will do.

        A core machine that is cut off lists itself alone, so those that were listed before count as well.
        """
        listed = {(str(row[0]), self.internal_port[1]) for row in self.book.cores}
        known = listed.union(self.contacts, ((ip, self.internal_port[1]) for ip in self.zone_of))

        def order(one: Address) -> tuple[int, bool, int, bytes]:
            until = self.avoided.get(one, (0, 0))[0]
            near = self._nearness(one[0])
            return (until if until > now else 0), one not in listed, near, spread(self.station, one[0])

        return min(known - {but} or known, key=order)

    def _avoid(self, address: Address, now: int) -> None:
        span = min(AVOID_MOST_NS, 2 * self.avoided.get(address, (0, AVOID_NS // 2))[1])
        self.avoided[address] = now + span, span

    def _leave_core(self, now: int, why: str) -> None:
        core = self.core
        event(
            "core-left", peer=core.address[0], why=why, silent_ms=(now - (core.heard_at or core.since)) // MS
        )
        self._avoid(core.address, now)
        if core.port is not None:
            core.port.close()
        if self.other is not None:
            self.core, self.other = self.other, None
        else:
            self.core = Uplink(self._best_core(now), "", now)

    def _drop_other(self, now: int) -> None:
        if self.other is not None:
            self._avoid(self.other.address, now)
            if self.other.port is not None:
                self.other.port.close()
            self.other = None

    def _quiet_at(self) -> int:
        """When the core machine has been waited for long enough to try another one beside it."""
        core = self.core
        return core.since + DOWN_NS if core.port is None else core.heard_at + QUIET_NS

    def _try_another(self, now: int) -> None:
        """A nearer one, or one that may answer sooner; the present one is left when that one has answered."""
        near = self._nearness(self.core.address[0])
        if self.other is None and (near or now >= self._quiet_at()):
            best = self._best_core(now, but=self.core.address)
            nearer = self._nearness(best[0]) < near and self.avoided.get(best, (0, 0))[0] <= now
            if best != self.core.address and (nearer or now >= self._quiet_at()):
                self.other = Uplink(best, "", now)

    def _move(self, now: int) -> None:
        """Another core machine has answered well."""
        other, core = self.other, self.core
        if other is None:
            return
        self.other = None
        if now < self._quiet_at() and self._nearness(core.address[0]) <= self._nearness(other.address[0]):
            if other.port is not None:  # the present one has answered meanwhile
                other.port.close()
            return
        event("core-moved", peer=other.address[0], before=core.address[0])
        self.core = other
        if core.port is not None:
            core.port.close()
        self._begin(other, now)
        self._tick(other, now)

    def _shun(self, now: int, why: str) -> None:
        """The parent is no good: the next one, or the core."""
        parent = self.parent
        if parent is not None:
            event("parent-left", peer=parent.station, why=why)
            self.shunned[parent.station] = now + SHUN_NS
            if parent.port is not None:
                parent.port.close()
            self.parent = None
        self._choose_parent(now)

    def _choose_parent(self, now: int) -> None:
        for gateway in parents(self.station, self.zone, self.book.gateways.values()):
            if self.shunned.get(gateway.station, 0) > now or not self.standing(gateway.station):
                continue
            host, _, port = gateway.internal_port.rpartition(":")
            address = (host, int(port))
            if self.parent is not None:
                if self.parent.station == gateway.station and self.parent.address == address:
                    return
                if self.parent.port is not None:
                    self.parent.port.close()
            self.parent = Uplink(address, gateway.station, now)
            return
        if self.parent is not None and self.parent.port is not None:
            self.parent.port.close()
        self.parent = None

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
                self.zone_of.setdefault(address[0], str(hello.get("zone", "")))
                self._begin(fresh, now)
            self._tick(fresh, now)

    def _begin(self, link: Uplink, now: int) -> None:
        """Who holds nothing yet does not wait until something is known to be missing."""
        if not self.book.number:
            self._want(link, now)
        if not self.book.sums.sums:
            self._ask(link, now)

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
        if kind == "tock":
            self._tock(link, message, now)
        elif kind == "agreed":
            self.book.take_agreed(int(message["n"]), message["state"])
        elif kind == "change":
            self._change(link, message, now)
        elif kind in ("cells", "digests", "ask"):
            for back in repair.heard(self.book, self.merge, message, now):
                port.write(encode(back))
            self._cells_met(now)

    def merge(self, workers: list[Any], gateways: list[Any], now: int) -> None:
        """Takes rows that came from anyone."""
        _, changed = self.book.take_cells(workers, gateways)
        if any(gateway.zone == self.zone for gateway in changed):
            if any(gateway.station == self.station for gateway in changed):
                self.tell(now)
            self._choose_parent(now)

    def _tock(self, link: Uplink, message: Message, now: int) -> None:
        t, age, number = int(message["t"]), message["age"], int(message["n"])
        if t not in link.stamps:
            return
        while link.stamps.popleft() != t:
            pass
        link.number = number
        if "cores" in message and link is self.core:
            self.book.cores = [[str(ip), str(zone)] for ip, zone in message["cores"]]
            self.zone_of |= {ip: zone for ip, zone in self.book.cores}
        if age is None or age > STALE_MS:
            link.stale_since = link.stale_since or now
        else:
            link.stale_since = 0
            self.avoided.pop(link.address, None)
            if link is self.other:
                self._move(now)
        if age is not None:
            link.proofs.append((number, t - int(age) * MS))
        if number > self.book.number:
            link.behind_since = link.behind_since or now
        self._prove(link)
        self._parent_lags(now)
        if link is self.core or not self._core_well(now):
            link.goal = (str(message["d"]), t)
            if self.book.sums.whole() != message["d"]:
                link.differ_since = link.differ_since or now
            self._cells_met(now)

    def _parent_lags(self, now: int) -> None:
        parent = self.parent
        if parent is None or not parent.number or parent.number >= self.core.number:
            if parent is not None:
                parent.lag_since = 0
        elif not parent.lag_since:
            parent.lag_since = now
        elif now - parent.lag_since > LAG_NS:
            self._shun(now, "behind")

    def _prove(self, link: Uplink) -> None:
        """Freshness moves where the number that it belongs to is held."""
        held = self.book.number
        for number, stamp in link.proofs:
            if number <= held:
                self.book.fresh_at = max(self.book.fresh_at, stamp)
        link.proofs = [one for one in link.proofs if one[0] > held][-STAMPS:]
        if link.number <= held:
            link.behind_since = 0

    def _number_grew(self) -> None:
        for link in self._links():
            self._prove(link)

    def _cells_met(self, now: int) -> None:
        for link in self._links():
            if link.goal[1] and self.book.sums.whole() == link.goal[0]:
                if link is self.core:
                    self.book.cells_at = max(self.book.cells_at, link.goal[1])
                link.goal, link.differ_since = ("", 0), 0

    def _change(self, link: Uplink, message: Message, now: int) -> None:
        number, base = int(message["n"]), int(message["base"])
        if number <= self.book.number:
            return
        if base != self.book.number:
            if now - link.wanted_at >= MEND_NS:  # else it is on its way, or `turn` asks again
                self._want(link, now)
            return
        state, _ = self.apply(self.book.state, message["op"])
        if state is None or seal(state) != message.get("seal"):
            trouble(
                PepperrunError("change-unlike", "taking a change", f"number {number}", link.station or "core")
            )
            self._want(link, now, whole=True)
            return
        self.book.take_agreed(number, state, (base, message["op"]))

    # What is due.

    def _want(self, link: Uplink, now: int, whole: bool = False) -> None:
        if link.port is not None:
            link.wanted_at = now
            link.port.write(encode({"k": "want", "n": self.book.number} | ({"whole": True} if whole else {})))

    def _ask(self, link: Uplink, now: int) -> None:
        if link.port is not None:
            link.asked_at = now
            link.port.write(encode(repair.ask(self.book)))

    def own_row(self) -> GatewayRecord:
        """The own record, placed before whatever else is told of this station.

        Others may have concluded that it is lost, and the time of day from which a life is numbered may have
        jumped back since an earlier one.
        """
        row = self.row()
        held = self.book.gateways.get(self.station)
        life, serial = max(self.life_of_row, (row.life, 0))
        said = replace(row, life=life, serial=row.serial + serial)
        if held is not None and held != said and held.rank >= said.rank:
            if held.life > life:
                life, serial = held.life + 1, 0
            else:
                serial += held.serial - said.serial + 1
        self.life_of_row = (life, serial)
        row = replace(row, life=life, serial=row.serial + serial)
        if held != row:
            self.book.take_cells([], [row])
        return row

    def _tick(self, link: Uplink, now: int) -> None:
        if link.port is None:
            return
        link.stamps.append(now)
        message: Message = {"k": "tick", "t": now, "n": self.book.number}
        if link is not self.parent:
            row = self.own_row().wire()
            if row != link.said:
                link.said = message["g"] = row
            message["root"] = self.root and link is self.core
        else:
            message["root"] = True
        link.port.write(encode(message))

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
        if now - self.turned_at > STOOD_NS:  # what was said meanwhile waits to be read: nobody was silent
            for link in self._links():
                link.heard_at, link.since = (now if link.heard_at else 0), now
                link.stale_since = 0
        self.turned_at = now
        core = self.core
        if core.port is None:
            if now - core.since > SILENT_NS:
                self._leave_core(now, "not up")
        elif now - core.heard_at > SILENT_NS:
            self._leave_core(now, "silent")
        elif core.stale_since and now - core.stale_since > STALE_NS:
            self._leave_core(now, "stale")
        other, parent = self.other, self.parent
        if other is not None and now - other.since > SILENT_NS:
            self._drop_other(now)
        if parent is not None and now - (parent.heard_at or parent.since) > SILENT_NS:
            self._shun(now, "silent" if parent.port else "not up")
        for link in self._mending(now):
            self._mend(link, now)
        self._try_another(now)
        if now >= self.next_tick:
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

    def _mend(self, link: Uplink, now: int) -> None:
        """Asks for what has been missing for too long."""
        late = bool(link.behind_since) and now - link.behind_since >= MEND_NS
        if late and now - link.wanted_at >= MEND_NS:
            self._want(link, now)
        if link.differ_since and now - link.differ_since >= MEND_NS and now - link.asked_at >= TICK_NS:
            self._ask(link, now)

    def due(self, now: int) -> int:
        """When `turn` has something to do."""
        out = self.next_tick
        for link in self._links():
            out = min(out, (link.heard_at or link.since) + SILENT_NS + MS)
        if self.other is None and (quiet := self._quiet_at()) > now:
            out = min(out, quiet)
        for link in self._mending(now):
            if link.behind_since:
                out = min(out, max(link.behind_since, link.wanted_at) + MEND_NS)
            if link.differ_since:
                out = min(out, max(link.differ_since + MEND_NS, link.asked_at + TICK_NS))
        return out
