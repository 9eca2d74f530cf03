"""Plans (scenarios): all that a day follows from, as data. A seed draws one, a file holds one."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

import dacite

ZONES = {f"z{at}": f"r{at % 3}" for at in range(6)}
TROUBLES = {
    **{"gate-kill": 5, "gate-power": 3, "gate-freeze": 5, "core-kill": 3, "core-power": 3, "core-freeze": 4},
    **{"core-wipe": 2, "dark": 1, "cut-zone": 3, "cut-region": 3, "cut-way": 4, "cut-core": 4, "loss": 2},
    **{"worker-crash": 5, "worker-unload": 4, "worker-handed": 3, "zone-power": 1},
    **{"change": 14, "race": 4, "evacuate": 4},
}
CORE_TROUBLES = {  # of days on which all goes against the core, with operators who do not rest
    **{
        "core-kill": 2,
        "core-power": 3,
        "core-freeze": 4,
        "core-wipe": 1,
        "dark-wipe": 2,
        "dark-amnesia": 4,
        "cut-core": 6,
    },
    **{"change": 12, "race": 2},
}
PLANNED_WORK = {"gate-stop": 10, "change": 12}  # of days with no fault at all
WIPES = ("core-wipe", "dark-wipe", "dark-amnesia")
ORDERS = ("change", "race", "evacuate")


@dataclass
class Trouble:
    """Something that happens at `at` and is over `span` later (ms). `who` chooses whom it meets."""

    kind: str
    at: int
    span: int
    who: int


@dataclass
class Route:
    """A kind of request. `work_ms` 0: 5 to 60 ms and now and then long; else its mean, `spread` its sigma.

    `worth` of one served within `aim_ms`, `late_worth` after that. `bytes`: of a request and its answer.
    """

    line: str = "main"
    safe: bool = True
    share: float = 1.0
    work_ms: float = 0.0
    spread: float = 0.5
    aim_ms: float = 500.0
    deadline_ms: float = 2000.0
    worth: float = 1.0
    late_worth: float = 0.5
    bytes: int = 2000
    homes: list[str] = field(default_factory=list)
    prefix: str = ""


def _routes() -> dict[str, Route]:
    return {
        "main": Route(share=30),
        "pay": Route(share=25, safe=False, worth=2.0, late_worth=1.0),
        "home": Route(share=15, homes=["r0", "r1"]),
        "version": Route(share=30, line=""),
    }


@dataclass
class Shape:
    """What a day is played with besides its troubles; the figures of the drawn days where nothing is said.

    Delays are drawn between half of the figure and all of it. A route named `version` goes to another service
    in each edition, so that a worker tells editions apart; `versions` is how many there are of these.
    """

    zones: dict[str, str] = field(default_factory=lambda: dict(ZONES))
    in_zone_ms: float = 1.0
    cross_zone_ms: float = 4.0
    cross_region_ms: float = 40.0
    loss: float = 0.0  # of packets, all day
    routes: dict[str, Route] = field(default_factory=_routes)
    lines: dict[str, int] = field(default_factory=lambda: {"main": 12})  # service: its workers
    versions: int = 8
    deadline_step_ms: float = 0.0  # by which each edition lowers all deadlines, a hundred times at most
    slots: int = 0  # of a worker, 0: endless
    queue: int = 8  # places to wait at a worker
    cold_per_s: float = 5.3
    cold_s: float = 6.0
    tenants: int = 0  # with quotas of `quota_x` times their use, instead of the three of drawn days
    quota_x: float = 1.6
    slope: float = 1.0  # of the tenants' sizes: the n-th sends 1 / n ** slope of what the first does
    repeats: int = 3  # a client comes again after 429 or 503 so often at most
    repeat_share: float = 0.7
    near: float = 0.8  # share of requests that go to a gatekeeper of the client's region
    waits: float = 0.2  # share of attempts that wait for a connection, up to 300 ms
    clients_s: float = 5.0  # traffic begins
    begin_s: float = 8.0  # drawn troubles begin between this
    mended_s: float = 40.0  # and 8 s before this, when all cuts and losses end
    tail_s: float = 54.0  # all is well from here on
    end_s: float = 62.0
    kinds: dict[str, float] = field(
        default_factory=dict
    )  # weights of drawn troubles, {}: those of the module
    fewest: int = 8
    most: int = 18
    bounds: dict[str, Any] = field(default_factory=dict)  # figures of the rules, as in the settings file
    constants: dict[str, float] = field(
        default_factory=dict
    )  # "distribution.follower:HEARTBEAT_NS": another value


def planned_work_shape() -> Shape:
    """Gatekeepers are stopped and started, time-outs change, and a part of the requests works long."""
    routes = _routes()
    routes["long"] = Route(share=40, work_ms=800.0, spread=0.9, aim_ms=3000.0, deadline_ms=12000.0)
    return Shape(
        routes=routes, deadline_step_ms=10.0, kinds=dict(PLANNED_WORK), fewest=60, most=80, waits=0.0
    )


@dataclass
class Plan:
    """All that a day follows from."""

    seed: int
    gates: int = 8
    cores: int = 3
    bug: str = ""
    rate: float = 60.0
    troubles: list[Trouble] = field(default_factory=list)
    shape: Shape = field(default_factory=Shape)

    def written(self) -> dict[str, Any]:
        """As JSON."""
        return asdict(self)


def read(data: Mapping[str, Any]) -> Plan:
    """A plan that was written; dacite.DaciteError where it is none."""
    return dacite.from_dict(Plan, data, dacite.Config(type_hooks={float: float}, strict=True))


def drawn_plan(
    seed: int, gates: int = 8, bug: str = "", rate: float = 60.0, shape: Shape | None = None
) -> Plan:
    """The plan that a seed gives."""
    rng = random.Random(f"plan {seed}")
    shape = shape or Shape()
    plan = Plan(seed, gates, rng.choice([3, 3, 5]), bug, rate, shape=shape)
    core = rng.random() < 0.4
    some: Mapping[str, float] = shape.kinds or (CORE_TROUBLES if core else TROUBLES)
    kinds, weights = list(some), list(some.values())
    wiped = dark = False
    for _ in range(rng.randint(shape.fewest, 24 if some is CORE_TROUBLES else shape.most)):
        kind = rng.choices(kinds, weights)[0]
        if kind in WIPES and wiped or kind.startswith("dark") and dark:
            continue  # no more disks than the core withstands
        wiped, dark = wiped or kind in WIPES, dark or kind.startswith("dark")
        at = rng.randint(int(shape.begin_s * 1000), int((shape.mended_s - 8) * 1000))
        span = rng.choice([300, 1000, 2500, 4000, 7000])
        plan.troubles.append(Trouble(kind, at, span, rng.randrange(1 << 16)))
    plan.troubles.sort(key=lambda one: one.at)
    return plan
