"""Each script under benchmarks/ runs once at its smallest size: a name that is gone there is found here."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from pepperrun.bench.cpus import idle_cpus, idle_ticks
from pepperrun.bench.replay import listening_port
from pepperrun.bench.rig import RigError

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 200
SMALLEST = {
    "capacity_control": ("--sizes", "20"),
    "capacity_members": ("--sizes", "3", "--listed", "20", "--seconds", "1", "--warm", "1"),
    "capacity_memory": ("--sizes", "500", "1000"),
    "capacity_push": ("--sizes", "20"),
    "capacity_target": (),
    "capture_cost": ("--pairs", "1", "--rate", "50", "--seconds", "0.5"),
    "capture_stall": ("--rate", "50", "--seconds", "0.5"),
    "control_cost": ("--routes", "10", "--gates", "3", "--cores", "3", "--workers", "3", "--seconds", "1"),
    "control_scale": ("--gates", "6", "--routes", "10"),
    "evacuation_orders": ("0:begin:0,0.2:finish:1", "--watch", "1"),
    "fleet_turns": ("0.3",),
    "hollow_gateways": ("--gates", "3", "--routes", "5", "--changes", "1", "--seconds", "0.5"),
    "ill_workers": ("--seeds", "1", "--rate", "2"),
    "many_changes": ("--changes", "60", "--routes", "5", "--long-each", "20"),
    "members_options": ("--members", "3", "--loss", "0", "--faults", "1"),
    "parking_options": ("20",),
    "planner_days": ("--seconds", "1", "--lanes", "1"),
    "planner_goal": ("--seconds", "1"),
    "planner_scale": ("--most", "10"),
    "request_cost": (str(ROOT), "--pairs", "1", "--rate", "50", "--seconds", "0.5"),
    "start_time": (str(ROOT), "--pairs", "1"),
}
PARTS = {"capacity_common", "capacity_process"}  # imported by the others


def test_every_script_is_listed() -> None:
    assert {path.stem for path in (ROOT / "benchmarks").glob("*.py")} == SMALLEST.keys() | PARTS


@pytest.mark.parametrize("script", SMALLEST)
def test_a_script_runs_at_its_smallest_size(script: str) -> None:
    command = [sys.executable, f"benchmarks/{script}.py", *SMALLEST[script]]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
    assert result.returncode == 0, result.stderr[-2000:]
    assert result.stdout.strip()


@pytest.mark.parametrize(
    ("code", "sentence"),
    [
        ("raise SystemExit(3)", "it ended with code 3; its log: nothing"),
        (
            "import sys; print('no disk', file=sys.stderr); sys.exit(2)",
            "it ended with code 2; its log: no disk",
        ),
        ("input()", "it did not listen within 0 s; its log: nothing"),
    ],
)
def test_a_gatekeeper_that_does_not_start_is_reported_with_its_end(tmp_path: Path, code: str, sentence: str):
    # Guards against an error that does not say whether the process ended or only took too long.
    log = tmp_path / "log"
    with log.open("wb") as stream:
        process = subprocess.Popen([sys.executable, "-c", code], stdin=subprocess.PIPE, stderr=stream)
    if "input" not in code:
        process.wait()
    with pytest.raises(RigError) as error:
        listening_port(log, process, timeout_s=0.0)
    assert str(error.value) == f"a gatekeeper did not start: {sentence}"
    process.communicate(b"\n")


def test_processes_are_pinned_to_idle_processors_only() -> None:
    # Guards against a process that waits for minutes for its turn on a busy processor.
    def stat(*idle: int) -> str:
        lines = [f"cpu{cpu} 90 0 50 {ticks} 3 0 0 0 0 0" for cpu, ticks in enumerate(idle)]
        return "\n".join(["cpu  360 0 200 400 12 0 0 0 0 0", *lines, "intr 7 0", "ctxt 9"])

    before = idle_ticks(stat(100, 200, 300, 400))
    assert before == {0: 100, 1: 200, 2: 300, 3: 400}
    assert idle_cpus({0, 1, 2, 3}, before, idle_ticks(stat(120, 219, 320, 420))) == [0, 1, 2, 3]
    assert idle_cpus({0, 1, 2, 3}, before, idle_ticks(stat(100, 219, 302, 415))) == [1, 3]
    assert idle_cpus({1, 2}, before, idle_ticks(stat(120, 200, 320, 420))) == [2]
