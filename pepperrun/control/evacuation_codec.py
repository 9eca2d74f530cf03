"""Typed evacuation orders, and their codec: only here are the words of the agreed state and its operations.

| stored or sent | typed |
| --- | --- |
| `evacuated` of the state: a zone once for each order that stands | `ZoneOrders.active` |
| `evacuations` of the state: `begun`, `finished`, `doubted`, `calls` by zone | the rest of `ZoneOrders` |
| operation with `call`, `sure`, `seen`, `count` | `OrderCall` |
| operation with `call`, `lapse`, `count` | `Expiry` |
| operation without `call` | `CountedOrder`, of a version of the program that knows no repeats |

`count`, the number of orders that stand afterwards, is sent for that version alone.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pepperrun.consensus.state import Operation

State = dict[str, Any]  # the agreed state, see docs/SYSTEM.md


@dataclass(frozen=True, slots=True)
class ZoneOrders:
    """Orders to keep one zone empty.

    Attributes
    ----------
    active : int
        Orders that are not ended, the uncertain ones included.
    uncertain : int
        Those of them that may be repeats of others: once no other stands they expire.
    begin_serial, end_serial : int
        Grow with each order that begins or ends an evacuation.
    call_ids : tuple of str
        Ids of the last calls that changed anything.
    """

    active: int = 0
    uncertain: int = 0
    begin_serial: int = 0
    end_serial: int = 0
    call_ids: tuple[str, ...] = ()

    def serial(self, *, begins: bool) -> int:
        """Return the serial of one kind of order."""
        return self.begin_serial if begins else self.end_serial


@dataclass(frozen=True, slots=True)
class OrderCall:
    """An operator's call to begin or to end an evacuation.

    Attributes
    ----------
    call_id : str
        Names this one proposal: a proposal may be evaluated twice.
    is_new : bool
        By the clock of the node that was called it repeats no order that was applied.
    seen_serial : int
        The serial of its kind on which `is_new` rests.
    """

    zone: str
    begins: bool
    call_id: str
    is_new: bool
    seen_serial: int


@dataclass(frozen=True, slots=True)
class Expiry:
    """The end of uncertain orders, if these are still the zone's serials."""

    zone: str
    call_id: str
    begin_serial: int
    end_serial: int


@dataclass(frozen=True, slots=True)
class CountedOrder:
    """An order of a version that knows only how many are to stand afterwards; None: one more, or none."""

    zone: str
    begins: bool
    count: int | None


EvacuationOperation = OrderCall | Expiry | CountedOrder


def zones_with_orders(state: Mapping[str, Any]) -> set[str]:
    """Return the zones that have, or had, an order."""
    return {*state.get("evacuated", ()), *state.get("evacuations", ())}


def evacuated_zones(state: Mapping[str, Any]) -> set[str]:
    """Return the zones for which an order stands."""
    return set(state.get("evacuated", ()))


def decode_orders(state: Mapping[str, Any], zone: str) -> ZoneOrders:
    """Return the orders for a zone; fields of later versions are passed over."""
    known = state.get("evacuations", {}).get(zone, {})
    active = state.get("evacuated", []).count(zone)
    return ZoneOrders(
        active=active,
        # A version that knows nothing of uncertain orders may have ended some.
        uncertain=min(known.get("doubted", 0), active),
        begin_serial=known.get("begun", 0),
        end_serial=known.get("finished", 0),
        call_ids=tuple(known.get("calls", ())),
    )


def encode_orders(state: State, zone: str, orders: ZoneOrders) -> State:
    """Return the state with other orders for a zone."""
    entry = {
        "begun": orders.begin_serial,
        "finished": orders.end_serial,
        "doubted": orders.uncertain,
        "calls": list(orders.call_ids),
    }
    other_zones = [other for other in state["evacuated"] if other != zone]
    return state | {
        "evacuated": sorted(other_zones + [zone] * orders.active),
        "evacuations": state.get("evacuations", {}) | {zone: entry},
    }


def decode_operation(op: Operation) -> EvacuationOperation:
    """Return an `evacuate` operation.

    Raises
    ------
    KeyError
        A field is missing.
    """
    zone = op["zone"]
    begins = op["begin"]
    if "call" not in op:
        return CountedOrder(zone, begins, op.get("count"))
    if "lapse" in op:
        begin_serial, end_serial = op["lapse"]
        return Expiry(zone, op["call"], begin_serial, end_serial)
    return OrderCall(zone, begins, op["call"], op["sure"], op["seen"])


def encode_call(call: OrderCall, active_after: int) -> Operation:
    """Return the operation for an operator's call, after which so many orders are expected to stand."""
    return {
        "do": "evacuate",
        "zone": call.zone,
        "begin": call.begins,
        "count": active_after,
        "call": call.call_id,
        "sure": call.is_new,
        "seen": call.seen_serial,
    }


def encode_expiry(expiry: Expiry) -> Operation:
    """Return the operation that ends uncertain orders."""
    return {
        "do": "evacuate",
        "zone": expiry.zone,
        "begin": False,
        "count": 0,
        "call": expiry.call_id,
        "lapse": [expiry.begin_serial, expiry.end_serial],
    }
