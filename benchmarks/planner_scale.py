"""How long the planner's answers take: a day of 50 s, by nodes and with the load in proportion.

python3 benchmarks/planner_scale.py [--most 200]
"""

import argparse
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent))

import msgspec  # noqa: E402
from planner_days import CLASSES, FLEET, PLANS, SHARES  # noqa: E402

from pepperrun.capture.format import Capture, Header  # noqa: E402
from pepperrun.model.fleet import parse_fleet, resized  # noqa: E402
from pepperrun.model.load import LoadSpec, draw_load  # noqa: E402
from pepperrun.planner.plan import Planner  # noqa: E402


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=200)
    options = parser.parse_args()
    for count in [size for size in (10, 20, 50, 100, 200) if size <= options.most]:
        fleet = resized(parse_fleet(FLEET.read_text()), count)
        # Two gatekeepers would be what breaks: their cores are full at some 3,000 requests a second.
        gatekeepers = max(2, count // 20)
        several = msgspec.structs.replace(fleet.gatekeepers, count=gatekeepers)
        fleet = msgspec.structs.replace(fleet, gatekeepers=several)
        capture = Capture(Header(1, "drawn", 0, gatekeepers, 0, "id", CLASSES, PLANS))
        spec = LoadSpec(50.0, 20.0 * count, gatekeepers=gatekeepers)
        capture.entries = draw_load(spec, CLASSES, SHARES, PLANS, seed=1)
        planner = Planner(capture, fleet, range(1, 6), 8, lambda text: None)
        start = time.monotonic()
        today = planner.today()
        span = time.monotonic() - start
        planner.close()
        requests = len(capture.entries)
        print(
            f"{count:4} nodes, {gatekeepers} gatekeepers: {requests:7} requests, five seeds in {span:6.1f} s,"
            f" {span * 1e6 / requests:5.0f} us a request; service {today['service']['mean']:.3f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
