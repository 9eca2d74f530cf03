"""Types of evacuation orders, and their codec. Only this module knows the keys of the agreed state for them.

| stored or sent | typed |
| --- | --- |
| `evacuated` of the state: a zone once for each active order | `ZoneOrders.active` |
| `evacuations` of the state, by zone: the keys of `encode_orders` | the rest of `ZoneOrders` |
| operation with `call`, `sure`, `seen`, `seen_opposite`, `count` | `OrderCall` |
| operation with `call`, `lapse`, `count` | `Expiry` |
| operation without `call` | `CountedOrder`, from a version of the program without deduplication |

`count`, the number of orders that are active afterwards, is sent only for that version.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pepperrun.consensus.state import Operation

State = dict[str, Any]  # the agreed state, see docs/SYSTEM.md


@dataclass(frozen=True, slots=True)
class ZoneOrders:
    """State of the evacuation orders for one zone.

    Attributes
    ----------
    active : int
        Number of orders that have not ended, including the uncertain ones.
    uncertain : int
        Number of active orders that may be repeats of others, or may have been ended by another operator.
        They expire once no other order is active, after a long time: they were acknowledged.
    probably_ended : int
        Number of other active orders, which were ended by calls that came soon after another end, with a
        begin in between. They expire sooner.
    begin_serial, end_serial : int
        Incremented by each order that begins or ends an evacuation.
    begin_serial_at_end : int or None
        The `begin_serial` when the last order ended an evacuation; None if no order did, or a version of the
        program that does not record it.
    call_ids : tuple of str
        Ids of the last calls that changed the orders.
    """

    active: int = 0
    uncertain: int = 0
    probably_ended: int = 0
    begin_serial: int = 0
    end_serial: int = 0
    begin_serial_at_end: int | None = None
    call_ids: tuple[str, ...] = ()

    @property
    def expiring(self) -> int:
        """Number of active orders that expire once no other order is active."""
        return self.uncertain + self.probably_ended

    @property
    def has_begun_since_end(self) -> bool:
        """Whether an order has begun since the last one that ended an evacuation."""
        return self.begin_serial != self.begin_serial_at_end

    def serial(self, *, begins: bool) -> int:
        """Return the serial of one kind of order."""
        return self.begin_serial if begins else self.end_serial


@dataclass(frozen=True, slots=True)
class OrderCall:
    """An operator's call to begin or to end an evacuation.

    Attributes
    ----------
    call_id : str
        Identifies this proposal, which may be evaluated more than once.
    is_new : bool
        Whether the call can't be a repeat of an applied order, by the clock of the node that received it.
    seen_serial : int
        The serial of this kind of order that the node knew when it determined `is_new`.
    seen_opposite_serial : int or None
        The serial of the other kind of order that the node knew while the caller was waiting; None in a
        proposal of a version that does not send it.
    """

    zone: str
    begins: bool
    call_id: str
    is_new: bool
    seen_serial: int
    seen_opposite_serial: int | None = None


@dataclass(frozen=True, slots=True)
class Expiry:
    """The end of the uncertain orders of a zone; valid only while the zone still has these serials."""

    zone: str
    call_id: str
    begin_serial: int
    end_serial: int


@dataclass(frozen=True, slots=True)
class CountedOrder:
    """An order of a version that sends only the number of active orders afterwards.

    With a count of None, an order that begins wants at least one active order afterwards, and one that ends
    wants none.
    """

    zone: str
    begins: bool
    count: int | None


EvacuationOperation = OrderCall | Expiry | CountedOrder


def zones_with_orders(state: Mapping[str, Any]) -> set[str]:
    """Return the zones that have or had an order."""
    return {*state.get("evacuated", ()), *state.get("evacuations", ())}


def evacuated_zones(state: Mapping[str, Any]) -> set[str]:
    """Return the zones that have an active order."""
    return set(state.get("evacuated", ()))


def decode_orders(state: Mapping[str, Any], zone: str) -> ZoneOrders:
    """Return the orders for a zone; fields of later versions are ignored."""
    known = state.get("evacuations", {}).get(zone, {})
    active = state.get("evacuated", []).count(zone)
    # A version that does not know uncertain orders may have ended some of them.
    expiring = min(known.get("doubted", 0), active)
    probably_ended = min(known.get("probably_ended", expiring), expiring)
    return ZoneOrders(
        active=active,
        uncertain=expiring - probably_ended,
        probably_ended=probably_ended,
        begin_serial=known.get("begun", 0),
        end_serial=known.get("finished", 0),
        begin_serial_at_end=known.get("finished_at"),
        call_ids=tuple(known.get("calls", ())),
    )


def encode_orders(state: State, zone: str, orders: ZoneOrders) -> State:
    """Return the state with new orders for a zone."""
    entry = {
        "begun": orders.begin_serial,
        "finished": orders.end_serial,
        "finished_at": orders.begin_serial_at_end,
        "doubted": orders.expiring,
        "probably_ended": orders.probably_ended,
        "calls": list(orders.call_ids),
    }
    other_zones = [other for other in state["evacuated"] if other != zone]
    return state | {
        "evacuated": sorted(other_zones + [zone] * orders.active),
        "evacuations": state.get("evacuations", {}) | {zone: entry},
    }


def decode_operation(op: Operation) -> EvacuationOperation:
    """Return the typed form of an `evacuate` operation.

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
    return OrderCall(zone, begins, op["call"], op["sure"], op["seen"], op.get("seen_opposite"))


def encode_call(call: OrderCall, active_after: int) -> Operation:
    """Return the operation for an operator's call; `active_after` orders are expected to be active then."""
    return {
        "do": "evacuate",
        "zone": call.zone,
        "begin": call.begins,
        "count": active_after,
        "call": call.call_id,
        "sure": call.is_new,
        "seen": call.seen_serial,
        "seen_opposite": call.seen_opposite_serial,
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
