"""Detectors weighed for membership: heartbeats to all with a time-out, the same with an accrual detector, and
the members' own protocol. `python3 benchmarks/members_options.py [--members 8,48] [--loss 0,0.05,0.2]`

The first two are drawn observer by observer (each judges alone, as these detectors do); the third is the code
that runs. Each is set so that a death is known to all in about a second without loss.
"""

from __future__ import annotations

import argparse
import math
import random
import statistics
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from pepperrun.lab.measure import virtual  # noqa: E402

PERIOD_S = 0.25  # of the heartbeats
TIMEOUT_S = 0.8
PHI = 8.0
DEATHS, CALM_S = 200, 600.0
STALL_S, STALLS = 0.3, 20  # standstills of the observer, and of the observed, that kill nobody


def gaps(rng: random.Random, loss: float) -> float:
    """The time between two heartbeats that arrive, s."""
    lost = 0
    while rng.random() < loss:
        lost += 1
    return (lost + 1) * PERIOD_S + rng.uniform(-0.003, 0.003)


def phi_limit(recent: list[float]) -> float:
    """After what silence an accrual detector's suspicion passes its limit, from the gaps seen."""
    mean, deviation = statistics.fmean(recent), max(0.01, statistics.pstdev(recent))
    low, high = 0.0, 100.0
    for _ in range(40):
        middle = (low + high) / 2
        tail = 0.5 * math.erfc((middle - mean) / deviation / math.sqrt(2))
        low, high = (middle, high) if tail > 10**-PHI else (low, middle)
    return high


def heartbeats(
    count: int, loss: float, accrual: bool, rng: random.Random
) -> tuple[float, float, float, float]:
    """p50 and p99 until a death is known to all, wrong verdicts an hour of the group, datagrams a member."""
    recent = [gaps(rng, loss) for _ in range(1000)]
    limit = phi_limit(recent) if accrual else TIMEOUT_S
    times = []
    for _ in range(DEATHS):
        worst = 0.0
        for _ in range(count - 1):
            silent_before = rng.uniform(0, 1) * PERIOD_S
            while rng.random() < loss:  # the last ones may have been lost: silence began earlier
                silent_before += PERIOD_S
            worst = max(worst, limit - silent_before)
        times.append(max(0.0, worst))
    times.sort()
    wrong, seen = 0, 0
    for _ in range(int(CALM_S / PERIOD_S) * 20):
        seen += 1
        wrong += gaps(rng, loss) > limit
    # A pair gets 1 / PERIOD_S heartbeats a second; a standstill lengthens one gap of each pair it concerns.
    stalls = STALLS * (count - 1) * 2 * (rng.uniform(0, PERIOD_S) + STALL_S > limit)
    an_hour = wrong / seen * 3600 / PERIOD_S * count * (count - 1) + stalls
    return times[len(times) // 2], times[int(0.99 * len(times))], an_hour, (count - 1) / PERIOD_S


def main() -> None:
    """The table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--members", default="8,24,48")
    parser.add_argument("--loss", default="0,0.05,0.2")
    parser.add_argument("--faults", type=int, default=20)
    given = parser.parse_args()
    rng = random.Random(1)
    print(f"{'n':>3} {'loss':>5}  {'detector':12} {'p50 s':>6} {'p99 s':>6} {'wrong/h':>10} {'msg/s':>6}")
    for count in map(int, given.members.split(",")):
        for loss in map(float, given.loss.split(",")):
            for name, accrual in (("time-out", False), ("accrual", True)):
                p50, p99, wrong, rate = heartbeats(count, loss, accrual, rng)
                print(f"{count:3} {loss:5.2f}  {name:12} {p50:6.2f} {p99:6.2f} {wrong:10.1f} {rate:6.1f}")
            row = virtual(count, loss, 1, given.faults, ("kill",))
            p50, p99 = row["kill_s"]["p50"], row["kill_s"]["p99"]
            wrong = row["false_burials"] / (row["seconds"] / 3600)
            rate = row["datagrams_a_member_a_second"]
            print(f"{count:3} {loss:5.2f}  {'members':12} {p50:6.2f} {p99:6.2f} {wrong:10.1f} {rate:6.1f}")


if __name__ == "__main__":
    main()
