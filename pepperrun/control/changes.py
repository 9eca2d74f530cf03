"""Operations on the agreed state: what each makes of it, and the verdict. Pure, the same on every machine.

| operation | fields besides `on`, `edition`, `digest` | taken where |
| --- | --- | --- |
| `replace` | `routes`, `carrier_lines`, `senders`, `limits` | `on` is the current edition |
| `amend` | `upsert`, `withdraw`, `limits` (if given) | likewise, and the result is valid |
| `evacuate` | `zone`, `begin` and what `evacuations` adds (and none of these) | see there |
| `seats` | `count`, `instead` (and none of these) | `instead` is the number held |
| `keepers` | `places`, `instead` (and none of these) | `instead` is the term held |
| `settled` | `term` (and none of these) | it is the term held, and is not settled |

A state is never changed in place, and a new one shares what did not change with the old one. Operations come
from `validation.read_replace` and `validation.read_amend`, which have checked each item for itself.
"""

from __future__ import annotations

from typing import Any

from pepperrun.consensus.state import Evaluation
from pepperrun.control import evacuations, taken_orders
from pepperrun.control.taken_orders import Known
from pepperrun.control.validation import KINDS, Op, check_lines, check_stamps, refusal, table
from pepperrun.foundation.errors import PepperrunError

State = dict[str, Any]
Verdict = list[Any]  # HTTP status, a sentence

EMPTY: State = {
    "edition": 0,
    **{"routes": {}, "carrier_lines": {}, "limits": {}, "senders": {}},
    **{"evacuated": [], "taken": []},
}
CARRIED = ("seats", "keepers", "evacuations")  # by every change of the configuration, where they are there


def evacuation(zone: str, begin: bool, count: int | None = None) -> Op:
    """The operation that empties a zone, or takes that back, as an operator asks for it."""
    return {"do": "evacuate", "zone": zone, "begin": begin} | ({} if count is None else {"count": count})


def apply(state: State | None, op: Op) -> Evaluation:
    """The state after an operation, None where it stays as it is, and the verdict."""
    state = state or EMPTY
    if op["do"] == "evacuate":
        return evacuations.apply_order(state, op)
    if op["do"] == "seats":
        if op["instead"] != state.get("seats", 0) or op["count"] == op["instead"]:
            return Evaluation(None, [412, "Another number of gatekeepers is held."])
        return Evaluation(state | {"seats": op["count"]}, [200, f"{op['count']} gatekeepers are there."])
    if op["do"] == "keepers":
        term = (state.get("keepers") or {}).get("term", 0)
        if op["instead"] != term:
            return Evaluation(None, [412, "Other lists of keepers are held."])
        return Evaluation(
            state | {"keepers": {"term": term + 1, "places": op["places"]}}, [200, "Keepers are listed."]
        )
    if op["do"] == "settled":
        listed = state.get("keepers") or {}
        if op["term"] != listed.get("term") or listed.get("settled"):
            return Evaluation(None, [412, "Other lists of keepers are held, or these are settled."])
        return Evaluation(state | {"keepers": listed | {"settled": True}}, [200, "Keepers are settled."])
    if op["do"] not in ("replace", "amend"):
        return Evaluation(
            None, [400, "This operation is of a later version."]
        )  # who learns of it asks for the whole
    # A repeat is known as one before anything of it is judged: what was taken once is refused for nothing.
    known = taken_orders.known(state, op)
    if known is Known.TAKEN:
        return Evaluation(None, [200, f"Edition {op['edition']} has been taken already."])
    if known is Known.UNKNOWN:
        return Evaluation(
            None, [503, f"Too long ago to be known: edition {state['edition']} is current.", "too-old"]
        )
    if op["on"] != state["edition"]:
        return Evaluation(None, [412, f"Edition {state['edition']} is current, not {op['on']}."])
    try:
        if op["edition"] <= state["edition"]:
            raise refusal(
                "old-edition", f"Edition {op['edition']} is not above the current {state['edition']}."
            )
        new = _replace(op) if op["do"] == "replace" else _amend(state, op)
    except PepperrunError as error:
        return Evaluation(None, [400, error.detail, error.code])
    new["edition"], new["evacuated"] = op["edition"], state["evacuated"]
    new |= {key: state[key] for key in CARRIED if key in state}
    new.pop("older", None)
    return Evaluation(new | taken_orders.remember(state, op), [200, f"Edition {op['edition']} is taken."])


def apply_at_gateway(state: State | None, op: Op) -> Evaluation:
    """As `apply`, of the part of the state that gatekeepers hold."""
    new, verdict = apply(state, op)
    return Evaluation(taken_orders.without_older(new) if new is not None else None, verdict)


def lean(state: State | None, op: Op) -> Op:
    """The same change as an amendment of what differs, for a whole configuration on top of the edition held.

    It goes to the disks of the core and down to all gatekeepers: small changes then stay small there, however
    they were sent, and what did not change stays the same objects. Another edition makes it fail as before.
    """
    state = state or EMPTY
    if op["do"] != "replace" or not state["edition"] or op["on"] != state["edition"]:
        return op
    if op.get("more") != state.get("more") or not state["limits"].keys() <= op["limits"].keys():
        return op  # an amendment takes nothing of these away
    upsert, withdraw = {}, {}
    for kind in KINDS:
        held = state[kind]
        put = {name: item for name, item in op[kind].items() if held.get(name) != item}
        gone = [name for name in held if name not in op[kind]]
        if put:
            upsert[kind] = put
        if gone:
            withdraw[kind] = gone
    return {
        **{"do": "amend", "on": op["on"], "edition": op["edition"], "upsert": upsert, "withdraw": withdraw},
        **{"limits": op["limits"], "digest": op["digest"]},
    }


def _replace(op: Op) -> State:
    return {key: op[key] for key in (*KINDS, "limits", "more") if key in op}


def _amend(state: State, op: Op) -> State:
    """Looks at what is changed, and at the rest only as far as the change may touch it."""
    new = dict(state)
    upsert, withdraw = op["upsert"], op["withdraw"]
    for kind in KINDS:
        if upsert.get(kind) or withdraw.get(kind):
            rows = dict(state[kind])
            for name in withdraw.get(kind, ()):
                rows.pop(name, None)
            new[kind] = rows | upsert.get(kind, {})
    if "limits" in op:
        new["limits"] = state["limits"] | op["limits"]
    routes = upsert.get("routes", {})
    if withdraw.get("carrier_lines"):
        routes = new["routes"]  # any of them may have named what is gone
    check_lines(routes.values(), new["carrier_lines"])
    if upsert.get("senders"):
        check_stamps(new["senders"])
    return new


def written(state: State | None) -> dict[str, Any]:
    """The configuration as operators put it."""
    state = state or EMPTY
    tables = {kind: table(state[kind]) for kind in KINDS}
    return {"edition": state["edition"], **tables, "limits": state["limits"], **state.get("more", {})}
