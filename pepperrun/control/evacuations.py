"""Which calls to evacuate a zone may be repeats, and when uncertain orders expire.

A call that got no clear answer is repeated for up to `receipt_ms`, and nothing in it tells whose it is: no
number, no body, the same address. So, within that time of an order of its kind for the zone, a call may be
the repeat of that order or another one; `control.evacuation_orders` evaluates it accordingly.

The serials of orders are agreed on, stored and passed on with the state. Each node notes by its own steady
clock when it learnt of one. A node that starts, or was behind, learns of an order later than it was applied:
that only lengthens the time in which a call may be a repeat.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from pepperrun.consensus.state import Operation
from pepperrun.control.evacuation_codec import (
    Expiry,
    OrderCall,
    ZoneOrders,
    decode_orders,
    encode_call,
    encode_expiry,
    evacuated_zones,
    zones_with_orders,
)
from pepperrun.control.evacuation_orders import MAX_ACTIVE_ORDERS

MS = 1_000_000  # ns
SECOND = 1000 * MS
MAX_DELAY_NS = SECOND  # by which a repeat that was sent in time arrives later
RETRY_NS = 2 * SECOND  # an operation that ends uncertain orders is proposed anew
MAX_HOLD_NS = 60 * SECOND  # by which an uncertain order is expected to outlast the one before it
NO_ORDERS = ZoneOrders()


class Evacuations:
    """What one node knows of the times of orders, and what it proposes.

    Attributes
    ----------
    started_at : int
        What is known at the start counts as if it were applied just then (steady ns).
    known : dict of str to ZoneOrders
        Orders by zone as of the last change.
    learnt_at : dict of (str, bool) to int
        By zone and whether the order begins: when this node learnt of the last one (steady ns).
    emptied_at : dict of str to int
        By zone: when its first order came, if this node saw that (steady ns).
    """

    def __init__(self, state: Mapping[str, Any], now: int) -> None:
        self.started_at = now
        self.known: dict[str, ZoneOrders] = {}
        self.learnt_at: dict[tuple[str, bool], int] = {}
        self.emptied_at: dict[str, int] = {}
        self.proposed_at = now - RETRY_NS
        self.on_state(state, now, is_one_operation=False)

    # Learning.

    def on_state(self, state: Mapping[str, Any], now: int, *, is_one_operation: bool) -> None:
        """Note a change of the agreed state.

        Parameters
        ----------
        is_one_operation : bool
            The change is by one operation, which was applied just now.
        """
        for zone in zones_with_orders(state) | self.known.keys():
            self._on_orders(zone, decode_orders(state, zone), now, is_one_operation)

    def _on_orders(self, zone: str, orders: ZoneOrders, now: int, is_one_operation: bool) -> None:
        before = self.known.get(zone, NO_ORDERS)
        is_moved = False
        for begins in (True, False):
            if orders.serial(begins=begins) != before.serial(begins=begins):
                self.learnt_at[zone, begins] = now
                is_moved = True
        if not orders.active or (is_moved and not is_one_operation):
            self.emptied_at.pop(zone, None)
        elif not before.active and is_one_operation:
            self.emptied_at[zone] = now
        if _is_change_without_serial(before, orders):
            self.learnt_at[zone, orders.active > before.active] = now
        self.known[zone] = orders

    # Proposing.

    def operation_for_call(
        self,
        zone: str,
        begins: bool,
        state: Mapping[str, Any],
        next_call_id: Callable[[], str],
        receipt_ms: float,
        now: int,
    ) -> Operation:
        """Return the operation for an operator's call.

        Parameters
        ----------
        next_call_id : callable
            Gives another id each time, on all nodes.
        receipt_ms : float
            How long a call is repeated that got no clear answer.
        """
        orders = decode_orders(state, zone)
        learnt_at = self.learnt_at.get((zone, begins))
        is_new = learnt_at is None or now - learnt_at > _repeated_for_ns(receipt_ms)
        call = OrderCall(zone, begins, next_call_id(), is_new, orders.serial(begins=begins))
        return encode_call(call, _active_after(call, orders))

    def next_expiry(
        self, state: Mapping[str, Any], next_call_id: Callable[[], str], receipt_ms: float, now: int
    ) -> Operation | None:
        """Return the operation that ends uncertain orders which nobody has taken back in time, or None."""
        if now - self.proposed_at < RETRY_NS:
            return None
        for zone in sorted(evacuated_zones(state)):
            orders = decode_orders(state, zone)
            if orders.active <= orders.uncertain and now > self._expires_at(zone, receipt_ms):
                self.proposed_at = now
                expiry = Expiry(zone, next_call_id(), orders.begin_serial, orders.end_serial)
                return encode_expiry(expiry)
        return None

    def _expires_at(self, zone: str, receipt_ms: float) -> int:
        """Return when the uncertain orders of a zone expire (steady ns).

        An order given within `receipt_ms` after another and held for as long ends within `receipt_ms` after
        it. One that is held for twice as long does so within the time that the first one stood besides: of
        that at most `MAX_HOLD_NS` is waited for, and all of it where this node did not see the start.
        """
        ended_at = self.learnt_at.get((zone, False), self.started_at)
        stood_ns = ended_at - self.emptied_at.get(zone, ended_at - MAX_HOLD_NS)
        return ended_at + _repeated_for_ns(receipt_ms) + min(MAX_HOLD_NS, stood_ns)


def _is_change_without_serial(before: ZoneOrders, after: ZoneOrders) -> bool:
    """Whether a version of the program that keeps no serials changed the number of orders."""
    return after.active != before.active and after == replace(before, active=after.active)


def _active_after(call: OrderCall, orders: ZoneOrders) -> int:
    if call.begins:
        return min(MAX_ACTIVE_ORDERS, orders.active + 1)
    return max(0, orders.active - 1) if call.is_new else orders.active


def _repeated_for_ns(receipt_ms: float) -> int:
    """Return how long after an order was applied its repeats may still come, ns."""
    return int(receipt_ms * MS) + MAX_DELAY_NS
