"""CPU and messages for a request, the decisions alone, by the tests' own fleet of gatekeepers.

    python3 benchmarks/fleet_turns.py [seconds]

Each second 10 requests for each gatekeeper are asked, of customers with 1,000 units a second and a fifth as
many with 10, over workers that answer after 80 ms. Figures for a request: processor time, messages, bytes.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from helpers import FREE, MS, RATE, SECOND  # noqa: E402
from test_many import TICK, Many  # noqa: E402


def measure(gateways: int, workers: int, customers: int, seconds: float) -> tuple[float, float, float]:
    """Microseconds, messages and bytes for a request."""
    many = Many(gateways, backends=workers)
    asked, due = 0, 0.0
    used = -time.process_time()
    for _ in range(int(seconds * SECOND) // TICK):
        due += 10 * gateways * TICK / SECOND
        while asked < due:
            asked += 1
            low = asked % 6 == 0
            customer = asked % (customers // 5) if low else 1_000_000 + asked % customers
            plan, units = RATE if low else FREE, float(1 + asked % 3)
            many.ask(many.rng.randrange(gateways), plan, customer, units)
        many.tick()
    used += time.process_time()
    return used / asked * 1e6, len(many.sizes) / asked, sum(many.sizes) / asked


if __name__ == "__main__":
    length = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    print(f"over {length} s; the fleet's own loop of {TICK // MS} ms ticks counts too")
    print("gatekeepers workers customers      us messages bytes")
    for shape in ((4, 60, 200), (40, 60, 200), (40, 15, 200), (40, 60, 800), (40, 240, 800)):
        micros, messages, size = measure(*shape, length)
        print("{:11} {:7} {:9}".format(*shape), f"{micros:7.0f} {messages:8.2f} {size:5.1f}")
