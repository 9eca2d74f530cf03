"""Operations on the agreed state: each gives a new state and a verdict. Pure, and equal on all nodes.

| operation | fields besides `on`, `edition`, `digest` | precondition |
| --- | --- | --- |
| `replace` | `routes`, `carrier_lines`, `senders`, `limits` | `on` is the current edition |
| `amend` | `upsert`, `withdraw`, `limits` (if given) | the same, and the resulting configuration is valid |
| `evacuate` | see `evacuation_codec`; without `on`, `edition`, `digest` | see `evacuation_orders` |
| `seats` (gateway count) | `count`, `instead`; without the three | `instead` is the agreed number |
| `keepers` (quota owners) | `places`, `instead`; without the three | `instead` is the agreed term |
| `settled` | `term`; without the three | `term` is the agreed term, and is not settled yet |

A state is never changed in place; a new state shares its unchanged parts with the old one. Configurations
come from `order_codec.read_replace` and `order_codec.read_amend`, which have validated each item by itself.
"""

from __future__ import annotations

from typing import Any

from pepperrun.consensus.state import Evaluation, Operation
from pepperrun.control import order_deduplication
from pepperrun.control.evacuation_orders import apply_order
from pepperrun.control.item_conversion import ITEM_TYPES
from pepperrun.control.order_deduplication import SeenOrder
from pepperrun.control.table_codec import encode_table
from pepperrun.control.validation import check_keys_distinct, check_services_known
from pepperrun.control.verdict import Verdict, configuration_error
from pepperrun.foundation.errors import PepperrunError

State = dict[str, Any]

EMPTY_STATE: State = {
    "edition": 0,
    "routes": {},
    "carrier_lines": {},
    "limits": {},
    "senders": {},
    "evacuated": [],
    "taken": [],
}
# Parts of the state that a change of the configuration does not touch.
KEPT_PARTS = ("seats", "keepers", "evacuations")


def evacuation_operation(zone: str, begin: bool, count: int | None = None) -> Operation:
    """Return the operation that begins or ends the evacuation of a zone, as an operator requests it."""
    op: Operation = {"do": "evacuate", "zone": zone, "begin": begin}
    return op if count is None else op | {"count": count}


def apply(state: State | None, op: Operation) -> Evaluation:
    """Evaluate an operation on the agreed state; a state of None is the empty one."""
    state = state or EMPTY_STATE
    match op["do"]:
        case "evacuate":
            return apply_order(state, op)
        case "seats":
            return _set_gateway_count(state, op)
        case "keepers":
            return _set_quota_owners(state, op)
        case "settled":
            return _settle_quota_owners(state, op)
        case "replace" | "amend":
            return _change_configuration(state, op)
        case _:  # a node of a later version may apply it: this node then fetches the complete state
            return _without_change(400, "This operation is of a later version.")


def _without_change(status: int, detail: str, code: str = "") -> Evaluation:
    """Return the evaluation of an operation that does not change the state."""
    return Evaluation(None, Verdict(status, detail, code))


def _set_gateway_count(state: State, op: Operation) -> Evaluation:
    if op["instead"] != state.get("seats", 0) or op["count"] == op["instead"]:
        return _without_change(412, "Another number of gatekeepers is agreed.")
    return Evaluation(state | {"seats": op["count"]}, Verdict(200, f"{op['count']} gatekeepers are there."))


def _set_quota_owners(state: State, op: Operation) -> Evaluation:
    term = (state.get("keepers") or {}).get("term", 0)
    if op["instead"] != term:
        return _without_change(412, "Other lists of quota owners are agreed.")
    owners = {"term": term + 1, "places": op["places"]}
    return Evaluation(state | {"keepers": owners}, Verdict(200, "Quota owners are listed."))


def _settle_quota_owners(state: State, op: Operation) -> Evaluation:
    agreed = state.get("keepers") or {}
    if op["term"] != agreed.get("term") or agreed.get("settled"):
        return _without_change(412, "Other lists of quota owners are agreed, or these are settled.")
    return Evaluation(
        state | {"keepers": agreed | {"settled": True}}, Verdict(200, "Quota owners are settled.")
    )


def _change_configuration(state: State, op: Operation) -> Evaluation:
    # Repeats are recognized before any other check, so that no check refuses an order that was applied once.
    seen = order_deduplication.lookup(state, op)
    if seen is SeenOrder.APPLIED:
        return _without_change(200, f"Edition {op['edition']} has been taken already.")
    if seen is SeenOrder.UNKNOWN:
        detail = f"Too long ago to be known: edition {state['edition']} is current."
        return _without_change(503, detail, "too-old")
    if op["on"] != state["edition"]:
        return _without_change(412, f"Edition {state['edition']} is current, not {op['on']}.")
    try:
        configuration = _configuration_after(state, op)
    except PepperrunError as error:
        return _without_change(400, error.detail, error.code)
    new = configuration | {"edition": op["edition"], "evacuated": state["evacuated"]}
    new |= {key: state[key] for key in KEPT_PARTS if key in state}
    new.pop("older", None)
    new |= order_deduplication.record_order(state, op)
    return Evaluation(new, Verdict(200, f"Edition {op['edition']} is taken."))


def _configuration_after(state: State, op: Operation) -> State:
    """Return the configuration that an order requests; raise PepperrunError if it is not valid."""
    if op["edition"] <= state["edition"]:
        detail = f"Edition {op['edition']} is not above the current {state['edition']}."
        raise configuration_error("old-edition", detail)
    return _replace(op) if op["do"] == "replace" else _amend(state, op)


def apply_at_gateway(state: State | None, op: Operation) -> Evaluation:
    """Evaluate an operation as `apply` does, on the part of the state that gatekeepers keep."""
    evaluation = apply(state, op)
    if evaluation.body is None:
        return evaluation
    return evaluation._replace(body=order_deduplication.without_older(evaluation.body))


def compact(state: State | None, op: Operation) -> Operation:
    """Return an equivalent amendment with only the differences, if `op` replaces the current configuration.

    Operations are written to the disks of the control nodes and sent to all gatekeepers. So a small change
    stays small there, however the operator sent it, and unchanged items stay the same objects. An operation
    on another edition is returned as it is, and its evaluation refuses it.
    """
    state = state or EMPTY_STATE
    if op["do"] != "replace" or not state["edition"] or op["on"] != state["edition"]:
        return op
    if op.get("more") != state.get("more") or not state["limits"].keys() <= op["limits"].keys():
        return op  # an amendment can't remove any of these
    upsert: dict[str, Any] = {}
    withdraw: dict[str, Any] = {}
    for kind in ITEM_TYPES:
        current = state[kind]
        changed = {name: item for name, item in op[kind].items() if current.get(name) != item}
        removed = [name for name in current if name not in op[kind]]
        if changed:
            upsert[kind] = changed
        if removed:
            withdraw[kind] = removed
    return {
        "do": "amend",
        "on": op["on"],
        "edition": op["edition"],
        "upsert": upsert,
        "withdraw": withdraw,
        "limits": op["limits"],
        "digest": op["digest"],
    }


def _replace(op: Operation) -> State:
    return {key: op[key] for key in (*ITEM_TYPES, "limits", "more") if key in op}


def _amend(state: State, op: Operation) -> State:
    """Change the named items; validate the others only as far as the change can affect them."""
    new = dict(state)
    upsert = op["upsert"]
    withdraw = op["withdraw"]
    for kind in ITEM_TYPES:
        if upsert.get(kind) or withdraw.get(kind):
            items = dict(state[kind])
            for name in withdraw.get(kind, ()):
                items.pop(name, None)
            new[kind] = items | upsert.get(kind, {})
    if "limits" in op:
        new["limits"] = state["limits"] | op["limits"]
    routes = upsert.get("routes", {})
    if withdraw.get("carrier_lines"):
        routes = new["routes"]  # any of them may refer to a removed service
    check_services_known(routes.values(), new["carrier_lines"])
    if upsert.get("senders"):
        check_keys_distinct(new["senders"])
    return new


def encode_configuration(state: State | None) -> dict[str, Any]:
    """Return the configuration in the format in which operators send it."""
    state = state or EMPTY_STATE
    tables = {kind: encode_table(state[kind]) for kind in ITEM_TYPES}
    return {"edition": state["edition"], **tables, "limits": state["limits"], **state.get("more", {})}
