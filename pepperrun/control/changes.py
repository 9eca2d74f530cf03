"""Operations on the agreed state: what each makes of it, and the verdict. Pure, the same on every machine.

| operation | fields besides `on`, `edition`, `digest` | taken where |
| --- | --- | --- |
| `replace` | `routes`, `carrier_lines`, `senders`, `limits` | `on` is the current edition |
| `amend` | `upsert`, `withdraw`, `limits` (if given) | likewise, and the result is valid |
| `evacuate` | `zone`, `begin`, `count` (and none of these) | always |
| `seats` | `count`, `instead` (and none of these) | `instead` is the number held |
| `keepers` | `places`, `instead` (and none of these) | `instead` is the term held |
| `settled` | `term` (and none of these) | it is the term held, and is not settled |

A state is never changed in place, and a new one shares what did not change with the old one. Operations come
from `checks.read_replace` and `checks.read_amend`, which have checked each item for itself.
"""

from __future__ import annotations

from typing import Any

from pepperrun.control.validation import KINDS, Op, check_lines, check_stamps, refusal, table
from pepperrun.foundation.errors import PepperrunError

State = dict[str, Any]
Verdict = list[Any]  # HTTP status, a sentence

EMPTY: State = {
    "edition": 0,
    **{"routes": {}, "carrier_lines": {}, "limits": {}, "senders": {}},
    **{"evacuated": [], "taken": []},
}
KEPT = 64  # changes that are still known by their digests, so that a repeated call gets its 200


def evacuation(zone: str, begin: bool, count: int | None = None) -> Op:
    """The operation that empties a zone, or takes that back; `count` orders to empty it stand afterwards."""
    return {"do": "evacuate", "zone": zone, "begin": begin} | ({} if count is None else {"count": count})


def apply(state: State | None, op: Op) -> tuple[State | None, Verdict]:
    """The state after an operation, None where it stays as it is, and the verdict."""
    state = state or EMPTY
    if op["do"] == "evacuate":
        return _evacuate(state, op)
    if op["do"] == "seats":
        if op["instead"] != state.get("seats", 0) or op["count"] == op["instead"]:
            return None, [412, "Another number of gatekeepers is held."]
        return state | {"seats": op["count"]}, [200, f"{op['count']} gatekeepers are there."]
    if op["do"] == "keepers":
        term = (state.get("keepers") or {}).get("term", 0)
        if op["instead"] != term:
            return None, [412, "Other lists of keepers are held."]
        return state | {"keepers": {"term": term + 1, "places": op["places"]}}, [200, "Keepers are listed."]
    if op["do"] == "settled":
        listed = state.get("keepers") or {}
        if op["term"] != listed.get("term") or listed.get("settled"):
            return None, [412, "Other lists of keepers are held, or these are settled."]
        return state | {"keepers": listed | {"settled": True}}, [200, "Keepers are settled."]
    if op["do"] not in ("replace", "amend"):
        return None, [400, "This operation is of a later version."]  # who learns of it asks for the whole
    if [op["edition"], op["digest"]] in state["taken"]:
        return None, [200, f"Edition {op['edition']} has been taken already."]
    if op["on"] != state["edition"]:
        return None, [412, f"Edition {state['edition']} is current, not {op['on']}."]
    try:
        if op["edition"] <= state["edition"]:
            raise refusal(
                "old-edition", f"Edition {op['edition']} is not above the current {state['edition']}."
            )
        new = _replace(op) if op["do"] == "replace" else _amend(state, op)
    except PepperrunError as error:
        return None, [400, error.detail, error.code]
    new["edition"], new["evacuated"] = op["edition"], state["evacuated"]
    new |= {key: state[key] for key in ("seats", "keepers") if key in state}
    new["taken"] = [*state["taken"], [op["edition"], op["digest"]]][-KEPT:]
    return new, [200, f"Edition {op['edition']} is taken."]


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


def _evacuate(state: State, op: Op) -> tuple[State | None, Verdict]:
    zone, held = op["zone"], state["evacuated"]
    standing = held.count(zone)
    count = op.get("count", max(1, standing) if op["begin"] else 0)
    if (standing >= count) if op["begin"] else (standing <= count):
        return None, [200, f"Zone {zone} is {'evacuated' if standing else 'in use'} already."]
    zones = sorted([*held, zone])
    if not op["begin"]:
        zones = [one for one in held if one != zone] + [zone] * (standing - 1)
        zones.sort()
    other = standing > 1 and not op["begin"]
    said = "evacuated" if op["begin"] else "still evacuated by another order" if other else "in use again"
    return state | {"evacuated": zones}, [200, f"Zone {zone} is {said}."]


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
