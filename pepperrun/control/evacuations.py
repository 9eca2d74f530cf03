"""Deduplication times of evacuation orders: which calls may be repeats, and when uncertain orders expire.

A call that got no definite answer is repeated for up to `receipt_ms`. Nothing in it identifies its sender:
it has no number and no body, and all calls have the same address. So a call that arrives within that time
after an order of its kind for the zone may be a repeat of that order, or a new one;
`control.evacuation_orders` evaluates it accordingly.

The serials of orders are agreed on, stored and distributed with the state. Each node records by its own
monotonic clock when it learned of a serial. A node that starts, or was behind, learns of an order later than
it was applied. That only lengthens the time in which a call may be a repeat.
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
MAX_DELAY_NS = SECOND  # a repeat that was sent in time may arrive so much later
RETRY_NS = 2 * SECOND  # between two proposals to end uncertain orders
ACKNOWLEDGED_HOLD_NS = 3600 * SECOND  # of an order that was acknowledged and that no call has ended
NO_ORDERS = ZoneOrders()


class Evacuations:
    """One node's record of when it learned of evacuation orders; makes the operations to propose.

    Attributes
    ----------
    started_at : int
        Orders known at the start are treated as applied at this time (monotonic ns).
    known : dict of str to ZoneOrders
        Orders by zone after the last change.
    learned_at : dict of (str, bool) to int
        When this node learned of the last order (monotonic ns), by zone and whether the order begins.
    """

    def __init__(self, state: Mapping[str, Any], now: int) -> None:
        self.started_at = now
        self.known: dict[str, ZoneOrders] = {}
        self.learned_at: dict[tuple[str, bool], int] = {}
        self.proposed_at = now - RETRY_NS
        self.on_state(state, now)

    # Changes of the state.

    def on_state(self, state: Mapping[str, Any], now: int) -> None:
        """Record a change of the agreed state."""
        for zone in zones_with_orders(state) | self.known.keys():
            self._on_orders(zone, decode_orders(state, zone), now)

    def _on_orders(self, zone: str, orders: ZoneOrders, now: int) -> None:
        before = self.known.get(zone, NO_ORDERS)
        for begins in (True, False):
            if orders.serial(begins=begins) != before.serial(begins=begins):
                self.learned_at[zone, begins] = now
        if _is_change_without_serial(before, orders):
            self.learned_at[zone, orders.active > before.active] = now
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
        """Return the operation for an operator's call, whose caller is still waiting at this moment.

        Parameters
        ----------
        next_call_id : callable
            Returns an id that is unique over all nodes.
        receipt_ms : float
            How long operators repeat a call that got no definite answer, ms.
        """
        orders = decode_orders(state, zone)
        learned_at = self.learned_at.get((zone, begins))
        is_new = learned_at is None or now - learned_at > _repeated_for_ns(receipt_ms)
        call = OrderCall(
            zone,
            begins,
            next_call_id(),
            is_new,
            seen_serial=orders.serial(begins=begins),
            seen_opposite_serial=orders.serial(begins=not begins),
        )
        return encode_call(call, _active_after(call, orders))

    def next_expiry(
        self, state: Mapping[str, Any], next_call_id: Callable[[], str], receipt_ms: float, now: int
    ) -> Operation | None:
        """Return the operation that ends uncertain orders whose time is over, or None."""
        if now - self.proposed_at < RETRY_NS:
            return None
        for zone in sorted(evacuated_zones(state)):
            orders = decode_orders(state, zone)
            if orders.active <= orders.expiring and now > self._expires_at(zone, orders, receipt_ms):
                self.proposed_at = now
                expiry = Expiry(zone, next_call_id(), orders.begin_serial, orders.end_serial)
                return encode_expiry(expiry)
        return None

    def _expires_at(self, zone: str, orders: ZoneOrders, receipt_ms: float) -> int:
        """Return when the orders of a zone expire, all of which are uncertain (monotonic ns).

        An order that was acknowledged, and is a repeat or that of another operator, is kept for
        `ACKNOWLEDGED_HOLD_NS` unless it is ended: its operator may need the zone evacuated for any time. If
        each order has probably ended, they are kept only while repeats of the last end may arrive.
        """
        ended_at = self.learned_at.get((zone, False), self.started_at)
        if orders.active > orders.probably_ended:
            return ended_at + ACKNOWLEDGED_HOLD_NS
        return ended_at + _repeated_for_ns(receipt_ms)


def _is_change_without_serial(before: ZoneOrders, after: ZoneOrders) -> bool:
    """Whether a version of the program without serials changed the number of orders."""
    return after.active != before.active and after == replace(before, active=after.active)


def _active_after(call: OrderCall, orders: ZoneOrders) -> int:
    if call.begins:
        return min(MAX_ACTIVE_ORDERS, orders.active + 1)
    return max(0, orders.active - 1) if call.is_new else orders.active


def _repeated_for_ns(receipt_ms: float) -> int:
    """Return how long after an order was applied its repeats may still arrive, ns."""
    return int(receipt_ms * MS) + MAX_DELAY_NS
