"""Evaluation of evacuation orders on the agreed state. Pure, with equal results on all nodes.

Two operators may evacuate one zone; it is in use again once both have ended their orders. An operator repeats
a call that got no definite answer, and nothing in a call identifies its sender. A call that may be a repeat
is not assumed to be one: the zone stays evacuated as if there were another order, and one order is uncertain
from then on. Once no other order is active uncertain ones expire (`control.evacuations`), but only after a
long time, as each may be an order that was acknowledged to another operator.

An operator that evacuates a zone twice in short order ends the second evacuation soon after the first. Such
an end comes after a begin that came after the end before, so it is probably no repeat of that: its order
expires sooner.
"""

from __future__ import annotations

from dataclasses import replace

from pepperrun.consensus.state import Evaluation, Operation
from pepperrun.control.evacuation_codec import (
    CountedOrder,
    Expiry,
    OrderCall,
    State,
    ZoneOrders,
    decode_operation,
    decode_orders,
    encode_orders,
)
from pepperrun.control.verdict import Verdict

MAX_ACTIVE_ORDERS = 8  # for one zone; more come from a faulty script
MAX_CALL_IDS = 16  # kept for one zone; eight orders may be in flight at once
OVERTAKEN = "overtaken"  # code of an order that may be older than the zone's last opposite order


def apply_order(state: State, op: Operation) -> Evaluation:
    """Evaluate an `evacuate` operation on the agreed state."""
    operation = decode_operation(op)
    orders = decode_orders(state, operation.zone)
    if isinstance(operation, CountedOrder):
        return _apply_count(state, operation, orders)
    if operation.call_id in orders.call_ids:
        return _unchanged_already(operation.zone, orders)
    if isinstance(operation, Expiry):
        return _expire(state, operation, orders)
    if _is_overtaken(operation, orders):
        detail = f"Zone {operation.zone} has had an opposite order meanwhile: ask again."
        return Evaluation(None, Verdict(503, detail, OVERTAKEN))
    is_new = operation.is_new and operation.seen_serial == orders.serial(begins=operation.begins)
    if operation.begins:
        return _begin(state, operation, orders, is_new)
    return _end(state, operation, orders, is_new)


def _is_overtaken(call: OrderCall, orders: ZoneOrders) -> bool:
    """Whether an opposite order was applied that was unknown when the caller was last seen waiting.

    Such a call may be older than that order: its caller may have given it up before, repeated it elsewhere,
    and given the opposite order since.
    """
    seen = call.seen_opposite_serial
    return seen is not None and seen != orders.serial(begins=not call.begins)


def _expire(state: State, expiry: Expiry, orders: ZoneOrders) -> Evaluation:
    serials = (expiry.begin_serial, expiry.end_serial)
    all_uncertain = 0 < orders.active <= orders.expiring
    if serials != (orders.begin_serial, orders.end_serial) or not all_uncertain:
        return Evaluation(None, Verdict(412, f"Orders for zone {expiry.zone} have come meanwhile."))
    ended = _limited(replace(_after_end(orders, expiry.call_id), active=0))
    return _changed(state, expiry.zone, ended, f"Zone {expiry.zone} is in use again.")


def _begin(state: State, call: OrderCall, orders: ZoneOrders, is_new: bool) -> Evaluation:
    all_ended = orders.active == orders.probably_ended
    is_covered = orders.uncertain > 0 and orders.has_begun_since_end  # one uncertain order covers all repeats
    if is_covered and not (is_new or all_ended):
        return _unchanged(f"Zone {call.zone} is evacuated already.")
    if orders.active >= MAX_ACTIVE_ORDERS:
        return _begin_in_place_of_uncertain(state, call, orders)
    is_uncertain = not (is_new or all_ended)
    begun = replace(
        _after_begin(orders, call.call_id),
        active=orders.active + 1,
        uncertain=orders.uncertain + is_uncertain,
    )
    already = " already" if orders.active and not is_new else ""
    return _changed(state, call.zone, begun, f"Zone {call.zone} is evacuated{already}.")


def _begin_in_place_of_uncertain(state: State, call: OrderCall, orders: ZoneOrders) -> Evaluation:
    """Make an uncertain order a certain one: the new order is kept though no more orders are counted."""
    sentence = f"Zone {call.zone} is evacuated already."
    if orders.probably_ended:
        begun = replace(orders, probably_ended=orders.probably_ended - 1)
    elif orders.uncertain:
        begun = replace(orders, uncertain=orders.uncertain - 1)
    else:
        return _unchanged(sentence)
    return _changed(state, call.zone, _after_begin(begun, call.call_id), sentence)


def _end(state: State, call: OrderCall, orders: ZoneOrders, is_new: bool) -> Evaluation:
    if not orders.active:
        return _unchanged(f"Zone {call.zone} is in use already.")
    if is_new:
        after = _limited(replace(orders, active=orders.active - 1))
    elif orders.has_begun_since_end:
        after = _limited(replace(orders, probably_ended=orders.probably_ended + 1))
    else:
        after = _limited(replace(orders, uncertain=orders.uncertain + 1))
    sentence = f"Zone {call.zone} is {_after_one_end(after)}."
    if after == orders:
        return _unchanged(sentence)
    return _changed(state, call.zone, _after_end(after, call.call_id), sentence)


def _limited(orders: ZoneOrders) -> ZoneOrders:
    """Return the orders with no more uncertain and probably ended ones than active ones."""
    probably_ended = min(orders.active, orders.probably_ended)
    uncertain = min(orders.active - probably_ended, orders.uncertain)
    return replace(orders, uncertain=uncertain, probably_ended=probably_ended)


def _after_one_end(orders: ZoneOrders) -> str:
    if not orders.active:
        return "in use again"
    if orders.active == orders.probably_ended:
        return "still evacuated by another order, or in use soon"
    if orders.active == orders.expiring:
        return "still evacuated by another order, or by a repeat that needs an end of its own"
    return "still evacuated by another order"


def _apply_count(state: State, order: CountedOrder, orders: ZoneOrders) -> Evaluation:
    """Evaluate an operation of a version that knows only the number of active orders."""
    if order.begins:
        return _begin_up_to(state, order, orders)
    return _end_down_to(state, order, orders)


def _begin_up_to(state: State, order: CountedOrder, orders: ZoneOrders) -> Evaluation:
    count = max(1, orders.active) if order.count is None else order.count
    if orders.active >= count:
        return _unchanged_already(order.zone, orders)
    begun = replace(_after_begin(orders), active=orders.active + 1)
    return _changed(state, order.zone, begun, f"Zone {order.zone} is evacuated.")


def _end_down_to(state: State, order: CountedOrder, orders: ZoneOrders) -> Evaluation:
    count = 0 if order.count is None else order.count
    if orders.active <= count:
        return _unchanged_already(order.zone, orders)
    active = orders.active - 1
    ended = _limited(replace(_after_end(orders), active=active))
    condition = "still evacuated by another order" if active else "in use again"
    return _changed(state, order.zone, ended, f"Zone {order.zone} is {condition}.")


def _unchanged_already(zone: str, orders: ZoneOrders) -> Evaluation:
    condition = "evacuated" if orders.active else "in use"
    return _unchanged(f"Zone {zone} is {condition} already.")


def _after_begin(orders: ZoneOrders, *call_ids: str) -> ZoneOrders:
    """Return the orders with the serial and the call ids after an order that begins."""
    recent_ids = (*orders.call_ids, *call_ids)[-MAX_CALL_IDS:]
    return replace(orders, begin_serial=orders.begin_serial + 1, call_ids=recent_ids)


def _after_end(orders: ZoneOrders, *call_ids: str) -> ZoneOrders:
    """Return the orders with the serials and the call ids after an order that ends."""
    recent_ids = (*orders.call_ids, *call_ids)[-MAX_CALL_IDS:]
    return replace(
        orders,
        end_serial=orders.end_serial + 1,
        begin_serial_at_end=orders.begin_serial,
        call_ids=recent_ids,
    )


def _unchanged(sentence: str) -> Evaluation:
    return Evaluation(None, Verdict(200, sentence))


def _changed(state: State, zone: str, orders: ZoneOrders, sentence: str) -> Evaluation:
    return Evaluation(encode_orders(state, zone, orders), Verdict(200, sentence))
