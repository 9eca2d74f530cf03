"""What a small request costs: CPU of a gatekeeper of this checkout and of another one, in turn.

    python3 benchmarks/request_cost.py OTHER_CHECKOUT [--pairs 6] [--rate 400] [--seconds 6]

Each run plays the same requests; the median of the pairs' ratios, this one over the other, is what counts.
"""

import argparse
import statistics
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).parent.parent
RUN = """
import sys
from pepperrun.bench.rig import HOST, Rig, usage
rate, seconds = float(sys.argv[1]), float(sys.argv[2])
with Rig(None) as rig:
    askers = rig.child("askers", HOST, rig.port, cpus={2})
    askers.ask(rate=rate, seconds=2, seed=1)
    before = usage(rig.gatekeeper.pid).cpu_s
    asked = askers.ask(rate=rate, seconds=seconds, seed=2)
    print((usage(rig.gatekeeper.pid).cpu_s - before) / asked["asked"] * 1e6)
"""


def run(checkout: Path, rate: float, seconds: float) -> float:
    """Microseconds of CPU for a request."""
    command = [sys.executable, "-c", RUN, str(rate), str(seconds)]
    done = subprocess.run(command, cwd=checkout, check=True, capture_output=True, text=True, timeout=120)
    return float(done.stdout.split()[-1])


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("other", type=Path)
    parser.add_argument("--pairs", type=int, default=6)
    parser.add_argument("--rate", type=float, default=400)
    parser.add_argument("--seconds", type=float, default=6)
    options = parser.parse_args()
    ratios = []
    for number in range(options.pairs):
        order = [HERE, options.other] if number % 2 else [options.other, HERE]
        got = {checkout: run(checkout, options.rate, options.seconds) for checkout in order}
        ratios.append(got[HERE] / got[options.other])
        print(f"{got[HERE]:.0f} us here, {got[options.other]:.0f} us there, {ratios[-1]:.3f}", flush=True)
    print(f"median ratio {statistics.median(ratios):.3f}")


if __name__ == "__main__":
    main()
