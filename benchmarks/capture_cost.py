"""What capturing costs: CPU of a gatekeeper for a request, without and with it, in turn.

    python3 benchmarks/capture_cost.py [--pairs 6] [--rate 400] [--seconds 6]

One run of a pair serves the same requests as the other; the median of the pairs' ratios is what counts.
"""

import argparse
import statistics
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from pepperrun.bench.rig import HOST, Rig, usage  # noqa: E402
from pepperrun.capture.format import decode_capture  # noqa: E402


def run(rate: float, seconds: float, folder: str | None) -> tuple[float, int]:
    """Microseconds of CPU for a request, and how many were captured."""
    arguments = ["--capture", folder] if folder is not None else []
    with Rig(None, arguments=arguments) as rig:
        askers = rig.child("askers", HOST, rig.port, cpus={2})
        askers.ask(rate=rate, seconds=2, seed=1)
        before = usage(rig.gatekeeper.pid).cpu_s
        asked = askers.ask(rate=rate, seconds=seconds, seed=2)
        spent = usage(rig.gatekeeper.pid).cpu_s - before
    found = sum(
        len(decode_capture(path.read_bytes()).entries) for path in Path(folder or "/nowhere").glob("*.prcap")
    )
    return spent / asked["asked"] * 1e6, found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--pairs", type=int, default=6)
    parser.add_argument("--rate", type=float, default=400)
    parser.add_argument("--seconds", type=float, default=6)
    options = parser.parse_args()
    ratios = []
    for number in range(options.pairs):
        with tempfile.TemporaryDirectory() as folder:
            runs = [(None, 0), (folder, 1)] if number % 2 else [(folder, 1), (None, 0)]
            got = {kind: run(options.rate, options.seconds, where) for where, kind in runs}
        ratios.append(got[1][0] / got[0][0])
        print(f"{got[0][0]:.0f} us without, {got[1][0]:.0f} us with, {ratios[-1]:.3f}; {got[1][1]} captured")
    print(f"median ratio {statistics.median(ratios):.3f}")


if __name__ == "__main__":
    main()
