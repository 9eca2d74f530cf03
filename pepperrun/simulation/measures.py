"""Measures of a day: worth, refusals and their causes, bytes, how long each edition takes to all gatekeepers.

`worth` is the share of what the clients' wishes were worth that they got: a wish is a request with the ones
that a client sends instead of it when it was refused, and is late by the time since the first of them. Those
with a key that was taken away count for nothing.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pepperrun.simulation.judges import Judges
    from pepperrun.simulation.plans import Route, Shape
    from pepperrun.simulation.virtual_time import Loop, World

MS = 1_000_000


class Measures:
    """Fed by clients and gatekeepers while the day is played."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.wishes: dict[str, tuple[int, Route]] = {}  # when, of which kind
        self.got: dict[str, float] = {}
        self.causes = Counter[str]()
        self.attempts = 0
        self.lives: list[tuple[Loop, list[tuple[int, int]]]] = []  # of gatekeepers: when which edition came

    def wished(self, root: str, route: str, now: int) -> None:
        """A client wants something."""
        self.wishes[root] = now, self.shape.routes[route]

    def served(self, root: str, now: int) -> None:
        """It has got it."""
        sent, route = self.wishes[root]
        self.got.setdefault(root, route.worth if now - sent <= route.aim_ms * MS else route.late_worth)

    def cause(self, name: str, **pairs: Any) -> None:
        """A gatekeeper's line of a request that was not served at the first try."""
        if name == "request" and pairs["status"] in (429, 503):
            self.causes[pairs["reason"]] += 1

    def starts(self, loop: Loop) -> list[tuple[int, int]]:
        """A gatekeeper's process; what it holds and since when goes into the list."""
        self.lives.append((loop, []))
        return self.lives[-1][1]

    def until_all(self, judges: Judges, now: int) -> list[float]:
        """By acknowledged edition: ms until all gatekeepers held it or a newer one that ran through.

        Those that were not there at the acknowledgement, or ended before, are not asked.
        """
        out = []
        for edition in judges.editions.values():
            worst = 0
            for loop, held in self.lives:
                if not edition.acked or not loop.began <= edition.acked < loop.over:
                    continue
                at = next((when for when, number in held if number >= edition.number), min(now, loop.over))
                if at < loop.over:
                    worst = max(worst, at - edition.acked)
            if edition.acked:
                out.append(worst / MS)
        return sorted(out)

    def row(self, judges: Judges, world: World) -> dict[str, Any]:
        """All of it. Wishes of the last seconds, which might still be served, are left out."""
        longest = max(route.deadline_ms for route in self.shape.routes.values())
        counted = [root for root, (at, _) in self.wishes.items() if at + longest * MS < world.now]
        most = sum(self.wishes[root][1].worth for root in counted)
        statuses = Counter(one.status for one in judges.asked.values())
        lags = self.until_all(judges, world.now)
        return {
            "requests": len(judges.asked),
            "worth": sum(self.got.get(root, 0.0) for root in counted) / most if most else 0.0,
            "refused": (statuses[429] + statuses[503]) / max(1, len(judges.asked)),
            "attempts": self.attempts,
            "all_p50_ms": quantile(lags, 0.5),
            "all_p99_ms": quantile(lags, 0.99),
            "all_worst_ms": quantile(lags, 1.0),
            "editions": len(lags),
            "between_mb": sum(size for kind, size in world.bytes.items() if kind.endswith("regions")) / 1e6,
            "own_between_mb": sum(
                size
                for kind, size in world.bytes.items()
                if kind.endswith("regions") and not kind.startswith("work")
            )
            / 1e6,
            "causes": dict(sorted(self.causes.items())),
            "bytes": dict(sorted(world.bytes.items())),
        }


def quantile(values: list[float], share: float) -> float:
    """The value of sorted ones that is so far up; 0 where there is none."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0
