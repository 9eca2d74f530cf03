"""Evacuations: which orders to empty a zone stand, and what a call makes of them that may be a repeat.

Two operators may empty one zone; it is in use again once both have taken that back. A call that got no clear
answer is repeated for up to `receipt_ms`, and nothing in it tells whose it is: no number, no body, the same
address. So, within that time of an order of its kind for the zone, a call may be the repeat of that order or
another one. Neither is guessed. The zone stays empty as another order would want it, but the order is
*doubted*: once no other stands, doubted ones lapse by themselves (`Evacuations.lapse`).

The agreed state has each zone in `evacuated` once for each order that stands, the doubted ones included, and
in `evacuations` a `ZoneOrders`. Its serials are agreed on, stored and passed on with the state; each core
machine notes by its own steady clock when it learnt of one. A machine that starts, or was behind, learns of
it later than it was taken: that only lengthens the time in which a call is in doubt.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, field, replace
from typing import Any

from pepperrun.consensus.state import Evaluation
from pepperrun.control.validation import Op
from pepperrun.control.verdict import Verdict

State = dict[str, Any]

MS = 1_000_000
SECOND = 1000 * MS
MOST = 8  # orders for one zone that stand at once: more are the mistake of a script
CALLS = 16  # calls of a zone that are known by their ids; eight orders may be under way at once
ON_THE_WAY_NS = SECOND  # a repeat that was sent in time comes in so much later at most
ASKED_AGAIN_NS = 2 * SECOND  # an operation that ends doubted orders is proposed anew
LONGEST_HOLD_NS = 60 * SECOND  # for which a doubted order is believed to outlast the one before it


@dataclass(frozen=True, slots=True)
class ZoneOrders:
    """The orders for one zone: how often it was begun and finished, how many that stand are doubted."""

    begun: int = 0
    finished: int = 0
    doubted: int = 0
    calls: list[str] = field(default_factory=list)  # ids of the last calls that changed anything

    @classmethod
    def of(cls, state: Mapping[str, Any], zone: str) -> ZoneOrders:
        """As the agreed state has it; fields of later versions are passed over."""
        held = state.get("evacuations", {}).get(zone, {})
        orders = cls(**{name: held[name] for name in cls.__slots__ if name in held})
        # A version that does not know of doubt may have ended orders.
        return replace(orders, doubted=min(orders.doubted, state.get("evacuated", []).count(zone)))

    def serial(self, begin: bool) -> int:
        """Return a number that changes with each order of this kind."""
        return self.begun if begin else self.finished


def apply_order(state: State, op: Op) -> Evaluation:
    """Evaluate an `evacuate` operation on the agreed state. Pure.

    `zone`, `begin`; `call`: id of this one proposal, as a proposal may be judged twice; `sure`: by the clock
    of the machine asked it repeats nothing that was taken; `seen`: the serial of its kind that this rests on;
    `lapse`: doubted orders end, if these are still the serials; `count`: orders that stand afterwards, for
    versions that know only this. An operation of theirs has no `call`.
    """
    zone, standing = op["zone"], state["evacuated"].count(op["zone"])
    orders = ZoneOrders.of(state, zone)
    if "call" not in op:
        return _apply_count(state, op)
    if op["call"] in orders.calls:
        return Evaluation(
            None, Verdict(200, f"Zone {zone} is {'evacuated' if standing else 'in use'} already.")
        )
    if "lapse" in op:
        if op["lapse"] != [orders.begun, orders.finished] or not 0 < standing <= orders.doubted:
            return Evaluation(None, Verdict(412, f"Orders for zone {zone} have come meanwhile."))
        return Evaluation(_changed(state, op, orders, 0, 0), Verdict(200, f"Zone {zone} is in use again."))
    sure = op["sure"] and op["seen"] == orders.serial(op["begin"])
    if op["begin"]:
        return _begin(state, op, orders, sure)
    return _finish(state, op, orders, sure)


def _begin(state: State, op: Op, orders: ZoneOrders, sure: bool) -> Evaluation:
    zone, standing = op["zone"], state["evacuated"].count(op["zone"])
    # One doubted order covers all repeats; where only doubted ones stand, another keeps them from lapsing.
    counts = sure or orders.doubted in (0, standing)
    if standing >= MOST or not counts:
        return Evaluation(None, Verdict(200, f"Zone {zone} is evacuated already."))
    doubted = orders.doubted + (0 if sure or orders.doubted or not standing else 1)
    new = _changed(state, op, orders, standing + 1, doubted)
    return Evaluation(
        new, Verdict(200, f"Zone {zone} is evacuated{' already' if standing and not sure else ''}.")
    )


def _finish(state: State, op: Op, orders: ZoneOrders, sure: bool) -> Evaluation:
    zone, standing = op["zone"], state["evacuated"].count(op["zone"])
    if not standing:
        return Evaluation(None, Verdict(200, f"Zone {zone} is in use already."))
    after = standing - 1 if sure else standing
    doubted = min(after, orders.doubted + (0 if sure else 1))
    said = "in use again"
    if after:
        said = "still evacuated by another order" + (", or in use soon" if doubted == after else "")
    verdict = Verdict(200, f"Zone {zone} is {said}.")
    if not sure and doubted == orders.doubted:
        return Evaluation(None, verdict)
    return Evaluation(_changed(state, op, orders, after, doubted), verdict)


def _apply_count(state: State, op: Op) -> Evaluation:
    """Evaluate an operation of a version that knows only how many orders stand."""
    zone, begin, standing = op["zone"], op["begin"], state["evacuated"].count(op["zone"])
    count = op.get("count", max(1, standing) if begin else 0)
    if (standing >= count) if begin else (standing <= count):
        return Evaluation(
            None, Verdict(200, f"Zone {zone} is {'evacuated' if standing else 'in use'} already.")
        )
    after = standing + 1 if begin else standing - 1
    orders = ZoneOrders.of(state, zone)
    said = "evacuated" if begin else "still evacuated by another order" if after else "in use again"
    new = _changed(state, op, orders, after, min(after, orders.doubted))
    return Evaluation(new, Verdict(200, f"Zone {zone} is {said}."))


def _changed(state: State, op: Op, orders: ZoneOrders, standing: int, doubted: int) -> State:
    zone, begin = op["zone"], op["begin"]
    calls = [*orders.calls, op["call"]][-CALLS:] if "call" in op else orders.calls
    serials = {"begun": orders.begun + begin, "finished": orders.finished + (not begin)}
    entry = asdict(replace(orders, **serials, doubted=doubted, calls=calls))
    zones = [one for one in state["evacuated"] if one != zone] + [zone] * standing
    evacuations = state.get("evacuations", {}) | {zone: entry}
    return state | {"evacuated": sorted(zones), "evacuations": evacuations}


class Evacuations:
    """When one core machine learnt of the orders for zones; what it proposes for a call."""

    def __init__(self, body: Mapping[str, Any], now: int) -> None:
        self.since = now  # what is there at the start counts as if it were taken just then
        self.noted: dict[str, tuple[ZoneOrders, int]] = {}
        self.learnt: dict[tuple[str, bool], int] = {}  # by zone and kind of order: the last one at, ns
        self.emptied: dict[str, int] = {}  # by zone: when its first order came, where that was seen
        self.asked_at = now - ASKED_AGAIN_NS
        self.note(body, now, at_once=False)

    def note(self, body: Mapping[str, Any], now: int, at_once: bool) -> None:
        """Note a change of the agreed state. `at_once`: by one operation, which was applied just now."""
        evacuated: list[str] = body.get("evacuated", [])
        for zone in {*evacuated, *body.get("evacuations", {}), *self.noted}:
            orders, standing = ZoneOrders.of(body, zone), evacuated.count(zone)
            before, stood = self.noted.get(zone, (ZoneOrders(), 0))
            moved = [begin for begin in (True, False) if orders.serial(begin) != before.serial(begin)]
            for begin in moved:
                self.learnt[zone, begin] = now
            if not standing or (moved and not at_once):
                self.emptied.pop(zone, None)
            elif not stood and at_once:
                self.emptied[zone] = now
            if orders == before and standing != stood:  # a version that keeps no serials was at work
                self.learnt[zone, standing > stood] = now
            self.noted[zone] = orders, standing

    def order(
        self,
        zone: str,
        begin: bool,
        body: Mapping[str, Any],
        call_id: Callable[[], str],
        receipt_ms: float,
        now: int,
    ) -> Op:
        """Return the operation for an operator's call. `call_id`: another one each time, on all machines."""
        orders, standing = ZoneOrders.of(body, zone), body.get("evacuated", []).count(zone)
        at = self.learnt.get((zone, begin), -1)
        sure = at < 0 or now - at > _repeated_for(receipt_ms)
        after = min(MOST, standing + 1) if begin else max(0, standing - 1) if sure else standing
        known = {"do": "evacuate", "zone": zone, "begin": begin, "count": after}
        return known | {"call": call_id(), "sure": sure, "seen": orders.serial(begin)}

    def lapse(
        self, body: Mapping[str, Any], call_id: Callable[[], str], receipt_ms: float, now: int
    ) -> Op | None:
        """Doubted orders that nobody has taken back in time: the operation that ends them.

        An order given within `receipt_ms` after another and held for as long ends within `receipt_ms` after
        it; one that is held for twice as long does so within the time that the first one stood besides, of
        which at most `LONGEST_HOLD_NS` is waited for, and all of it where this machine did not see the start.
        """
        if now - self.asked_at < ASKED_AGAIN_NS:
            return None
        for zone in sorted(set(body.get("evacuated", []))):
            orders, standing = ZoneOrders.of(body, zone), body["evacuated"].count(zone)
            if standing > orders.doubted:
                continue
            finished = self.learnt.get((zone, False), self.since)
            stood = finished - self.emptied.get(zone, finished - LONGEST_HOLD_NS)
            hold = _repeated_for(receipt_ms) + min(LONGEST_HOLD_NS, stood)
            if now - finished > hold:
                self.asked_at = now
                known = {"do": "evacuate", "zone": zone, "begin": False, "count": 0}
                return known | {"call": call_id(), "lapse": [orders.begun, orders.finished]}
        return None


def _repeated_for(receipt_ms: float) -> int:
    """How long after an order was taken its repeats may still come, ns."""
    return int(receipt_ms * MS) + ON_THE_WAY_NS
