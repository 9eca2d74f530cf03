"""Predicted against measured service: a day is captured on real gatekeepers, and eight made of it are played.

    python3 benchmarks/planner_days.py [--seconds 20] [--lanes 2] [--json FILE]

The model's figure is the mean over five seeds, none of them the replay's. The last three days were not looked
at while the model was made.
"""

import argparse
import json
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from pepperrun.bench.replay import replay  # noqa: E402
from pepperrun.capture.edit import merge, scale  # noqa: E402
from pepperrun.capture.format import Class, Plan, decode_capture, encode_capture  # noqa: E402
from pepperrun.model.day import Fault, requests_from_entries  # noqa: E402
from pepperrun.model.fleet import Fleet, parse_fleet, resized  # noqa: E402
from pepperrun.model.load import LoadSpec, draw_load  # noqa: E402
from pepperrun.planner.fit import fit_capture  # noqa: E402
from pepperrun.planner.plan import SimulationTask, confidence_interval, simulate_task  # noqa: E402

CLASSES = (
    Class("slot-search", 600, 2400, "safe", 1),
    Class("booking-view", 600, 2400, "safe", 2),
    Class("booking-confirm", 450, 1500, "keyed", 5),
)
SHARES = (0.57, 0.26, 0.17)
PLANS = (
    Plan("essentiel", 1.7, 8, 0, 0, 1.2, 0, 1.0),
    Plan("reseau", 12, 20, 25, 40, 1.8, 0.1, 0),
)
FLEET = Path(__file__).parent.parent / "examples" / "fleet.toml"
SEEDS = (11, 12, 13, 14, 15)


def days(seconds: float, at_full: float) -> list[tuple[str, float, int, tuple[Fault, ...]]]:
    """Name, times the load at which use inside quotas is all the fleet can do, nodes, faults."""
    middle = seconds * 0.4
    return [
        ("calm", 0.45 * at_full, 8, ()),
        ("busy", 0.62 * at_full, 8, ()),
        ("80% inside quotas", 0.8 * at_full, 8, ()),
        ("cold restart of all", 0.55 * at_full, 8, (Fault("restart", middle),)),
        ("a zone lost", 0.55 * at_full, 8, (Fault("lost", middle, 0.0, "b"),)),
        ("90% inside quotas", 0.9 * at_full, 8, ()),
        ("100% inside quotas", 1.0 * at_full, 8, ()),
        ("fleet shrinking by half", 0.45 * at_full, 8, (Fault("drain", middle, 0.0, "", 0.5),)),
    ]


def inside_work(entries: list, fleet: Fleet) -> float:
    """What one gatekeeper would let in, as a share of what the nodes can do."""
    from pepperrun.model.service_level import RequestResult, inside_quota

    asks = [
        RequestResult(one.at_us * 1000, one.cls, one.plan, one.customer, one.units, None) for one in entries
    ]
    work = 0.0
    for entry, good in zip(entries, inside_quota(asks, PLANS), strict=True):
        if good:
            one = fleet.work[CLASSES[entry.cls].name]
            work += one.mean_ms * entry.units**one.by_units / 1000
    span = (entries[-1].at_us - entries[0].at_us) / 1e6
    cores = sum(g.count * fleet.kind[g.kind].cores * fleet.kind[g.kind].speed for g in fleet.nodes)
    return work / span / cores


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--lanes", type=int, default=2)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    fleet = parse_fleet(FLEET.read_text())
    spec = LoadSpec(options.seconds, 55.0, gatekeepers=fleet.gatekeepers.count)
    drawn = draw_load(spec, CLASSES, SHARES, PLANS, seed=5)
    with tempfile.TemporaryDirectory() as folder:
        base = replay(
            requests_from_entries(drawn, CLASSES, fleet, 1), CLASSES, PLANS, fleet, 1, capture=Path(folder)
        )
        captured = merge([decode_capture(path.read_bytes()) for path in sorted(Path(folder).glob("*.prcap"))])
    print(f"captured {len(captured.entries)} of {base['requests']} requests; remarks: {captured.remarks}")
    fitted = fit_capture(captured)
    for name, work in fitted["work"].items():
        true, got = fleet.work[name], work["mean_ms"]
        print(
            f"fit: {name:16} mean {got['value']:.1f} ms ({got['low']:.1f} to {got['high']:.1f}),"
            f" true {true.mean_ms}; cv {work['cv']['value']:.2f}, true {true.cv};"
            f" by units {work['by_units']}, true {true.by_units}"
        )
    print(f"fit: speed_cv {fitted['speed_cv']:.3f}, true {fleet.kind['std-4c'].speed_cv}")
    at_full = 1.0 / inside_work(captured.entries, fleet)
    rows = []

    def measured(item: tuple) -> dict:
        number, (_, factor, nodes, faults) = item
        some = scale(captured, factor, seed=number)
        sized = resized(fleet, nodes)
        for attempt in range(3):
            load = requests_from_entries(some.entries, CLASSES, sized, 100 + number)
            got = replay(load, CLASSES, PLANS, sized, 100 + number + attempt, faults, lane=number)
            if not got["busy"]:
                break
        return got

    todo = list(enumerate(days(options.seconds, at_full)))
    with ThreadPoolExecutor(options.lanes) as threads:
        results = list(threads.map(measured, todo))
    with ProcessPoolExecutor() as pool:
        questions = [
            SimulationTask(
                encode_capture(scale(captured, factor, seed=number)), resized(fleet, nodes), seed, faults
            )
            for number, (_, factor, nodes, faults) in todo
            for seed in SEEDS
        ]
        answers = list(pool.map(simulate_task, questions))
    for number, (name, factor, _, _) in todo:
        some = answers[number * len(SEEDS) : (number + 1) * len(SEEDS)]
        row = {"day": name, "load": round(factor / at_full, 3), "measured": results[number]}
        row["model"] = {
            part: confidence_interval([one[part] for one in some])
            for part in ("service", "whole", "worst_10_s", "worst_plan")
        }
        row["off"] = round(row["model"]["service"]["mean"] / max(1e-9, results[number]["service"]) - 1, 4)
        rows.append(row)
        model = row["model"]["service"]
        print(
            f"{name:26} measured {results[number]['service']:.3f}  model {model['mean']:.3f}"
            f" ({model['low']:.3f} to {model['high']:.3f})  off {row['off']:+.1%}"
            f"  whole {results[number]['whole']:.3f}/{row['model']['whole']['mean']:.3f}"
            f"  late {results[number]['late_ms']:.0f} ms{' BUSY' if results[number]['busy'] else ''}"
        )
    within = sum(abs(row["off"]) <= 0.1 for row in rows)
    print(f"{within} of {len(rows)} days within 10%")
    if options.json:
        options.json.write_text(json.dumps({"rows": rows, "fit": fitted}, indent=1) + "\n")


if __name__ == "__main__":
    main()
