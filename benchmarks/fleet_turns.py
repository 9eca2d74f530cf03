"""CPU and messages for a request at 4 and at 40 gatekeepers: the decisions alone, by the tests' own fleet.

    python3 benchmarks/fleet_turns.py [seconds]

Each second 10 requests for each gatekeeper are asked by 200 customers of 1,000 units a second and 40 of 10,
over 60 workers that answer after 80 ms. Figures for a request: processor time in us, messages and bytes.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from helpers import FREE, MS, RATE, SECOND, only  # noqa: E402
from test_many import TICK, Many  # noqa: E402

from pepperrun.interface import TellPeer  # noqa: E402


def measure(gateways: int, seconds: float) -> tuple[float, float, float]:
    """Microseconds, messages and bytes for a request."""
    many = Many(gateways, backends=60)
    sizes: list[int] = []
    carry = many.carry

    def weighed(me: int, actions: list) -> None:  # type: ignore[type-arg]
        sizes.extend(len(action.data) for action in only(actions, TellPeer))
        carry(me, actions)

    many.carry = weighed  # type: ignore[method-assign]
    asked, due = 0, 0.0
    used = -time.process_time()
    for _ in range(int(seconds * SECOND) // TICK):
        due += 10 * gateways * TICK / SECOND
        while asked < due:
            asked += 1
            plan, customer = (RATE, asked % 40) if asked % 6 == 0 else (FREE, 1000 + asked % 200)
            many.ask(many.rng.randrange(gateways), plan, customer, units=float(1 + asked % 3))
        many.tick()
    used += time.process_time()
    return used / asked * 1e6, len(sizes) / asked, sum(sizes) / asked


if __name__ == "__main__":
    length = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    print(f"over {length} s; the fleet's own loop of {TICK // MS} ms ticks counts too")
    for count in (4, 40):
        micros, messages, size = measure(count, length)
        print(
            f"{count:3} gatekeepers: {micros:7.0f} us, {messages:.2f} messages, {size:5.1f} bytes a request"
        )
