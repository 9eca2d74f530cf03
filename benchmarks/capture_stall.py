"""Service, memory and counts while the disk of the captures stalls under load.

    python3 benchmarks/capture_stall.py [--rate 500] [--seconds 20]

A real gatekeeper serves the same load before, while and after its captures' file takes no write. In the end
what the captures hold and what they say was dropped has to be what was asked, to the request.
"""

import argparse
import signal
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from pepperrun.bench.rig import HOST, Rig, usage  # noqa: E402
from pepperrun.capture.format import decode_capture  # noqa: E402


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=500)
    parser.add_argument("--seconds", type=float, default=20)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        stall, captures = Path(folder) / "stall", Path(folder) / "captures"
        captures.mkdir()
        asked = 0
        with Rig(
            None,
            arguments=["--capture", str(captures)],
            module="pepperrun.bench.stalling",
            env={"STALL_FILE": str(stall)},
        ) as rig:
            askers = rig.child("askers", HOST, rig.port, cpus={2})
            asked += askers.ask(rate=options.rate, seconds=5, seed=1)["asked"]
            for number, phase in enumerate(("before", "stalled", "after")):
                if phase == "stalled":
                    stall.touch()
                elif stall.exists():
                    stall.unlink()
                start = usage(rig.gatekeeper.pid)
                got = askers.ask(rate=options.rate, seconds=options.seconds, seed=10 + number)
                end = usage(rig.gatekeeper.pid)
                asked += got["asked"]
                print(
                    f"{phase:8} p50 {got['p50_ms']:6.1f} ms, p99 {got['p99_ms']:6.1f} ms, {got['statuses']},"
                    f" {(end.cpu_s - start.cpu_s) / got['asked'] * 1e6:5.0f} us CPU a request,"
                    f" memory {start.anonymous / 2**20:.1f} -> {end.anonymous / 2**20:.1f} MB",
                    flush=True,
                )
            rig.gatekeeper.send_signal(signal.SIGTERM)
            rig.gatekeeper.wait(30)
            lines = [line for line in rig.lines if "dropped" in line]
        found = [decode_capture(path.read_bytes()) for path in sorted(captures.glob("*.prcap"))]
        held, dropped = sum(len(one.entries) for one in found), max(one.dropped for one in found)
        print(
            f"asked {asked}: captured {held} and dropped {dropped}; last line: {lines[-1] if lines else '-'}"
        )
        return 0 if held + dropped == asked else 1


if __name__ == "__main__":
    sys.exit(main())
