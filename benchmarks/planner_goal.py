"""The nodes that the planner recommends, played: the goal is met there and missed with two nodes fewer?

    python3 benchmarks/planner_goal.py [--seconds 15]

Two drawn days; the goal of each is a little under what plenty of nodes reach.
"""

import argparse
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent))

from planner_days import CLASSES, FLEET, PLANS, SHARES  # noqa: E402

from pepperrun.bench.replay import replay  # noqa: E402
from pepperrun.capture.format import Capture, Header  # noqa: E402
from pepperrun.model.day import requests_from_entries  # noqa: E402
from pepperrun.model.fleet import parse_fleet, resized  # noqa: E402
from pepperrun.model.load import LoadSpec, draw_load  # noqa: E402
from pepperrun.planner.plan import Planner  # noqa: E402

UNDER = 0.05  # the goal, under what plenty of nodes reach
PLENTY = 14


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    options = parser.parse_args()
    base = parse_fleet(FLEET.read_text())
    todo = []
    for seed, inside in ((21, 190.0), (22, 260.0)):
        capture = Capture(Header(1, "drawn", 0, 2, 0, "id", CLASSES, PLANS))
        capture.entries = draw_load(LoadSpec(options.seconds, inside), CLASSES, SHARES, PLANS, seed)
        planner = Planner(capture, resized(base, PLENTY), range(1, 6), 8, lambda text: None)
        goal = round(planner.today()["service"]["mean"] - UNDER, 3)
        answer = planner.fewest_nodes(goal, PLENTY)
        planner.close()
        nodes = answer["nodes"]
        print(f"day {seed}: goal {goal}: {nodes} nodes, interval {answer['interval']}", flush=True)
        todo += [(seed, goal, nodes, capture, count) for count in (nodes, max(1, nodes - 2))]

    def played(item):
        lane, (seed, _, _, capture, count) = item
        fleet = resized(base, count)
        return replay(
            requests_from_entries(capture.entries, CLASSES, fleet, 200 + seed),
            CLASSES,
            PLANS,
            fleet,
            200,
            lane=lane,
        )

    with ThreadPoolExecutor(2) as threads:
        for (seed, goal, _, _, count), got in zip(todo, threads.map(played, enumerate(todo)), strict=True):
            verdict = "meets" if got["service"] >= goal else "misses"
            print(f"day {seed}, {count} nodes: measured {got['service']:.3f} {verdict} {goal}", flush=True)


if __name__ == "__main__":
    main()
