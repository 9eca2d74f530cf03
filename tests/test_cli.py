"""The command, its exit codes and one-line errors; and a small run of the bench with all its processes."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from pepperrun.__main__ import main
from pepperrun.bench import idle
from pepperrun.bench.rig import HOST, Rig, RigError

ROOT = Path(__file__).parent.parent


def test_config_check_says_what_each_file_is_and_ends_as_the_old_command_does(tmp_path, capsys):
    assert (
        main(["config", "check", str(ROOT / "deploy/clients.json"), str(ROOT / "examples/clinic.toml")]) == 0
    )
    assert "clients, ok" in capsys.readouterr().out
    bad = tmp_path / "clients.json"
    bad.write_text('{"most": 3, "most_asking": 4}')
    assert main(["config", "check", "--json", str(bad)]) == 2
    (found,) = json.loads(capsys.readouterr().out)["files"]
    assert found == {"file": str(bad), "error": "most_asking: must be no more than most"}
    assert main(["config", "write", str(ROOT / "examples/clinic.toml"), "--out", str(tmp_path / "out")]) == 0
    assert sorted(path.name for path in (tmp_path / "out").iterdir()) == ["n0.json", "n1.json"]


@pytest.mark.parametrize(
    "arguments",
    [
        ["nosuch"],
        ["config", "check"],
        ["config", "write", "/nowhere.toml"],
        ["bench", "idle", "--steps", "a"],
        ["bench", "idle", "--steps", "0"],
        ["bench", "accepts", "--count", "1"],
        ["--nosuch", "x"],
        ["--clients", "/nowhere.json"],
        ["--log-format", "xml"],
    ],
)
def test_bad_input_is_told_in_one_line_with_exit_2(arguments, capsys, monkeypatch):
    monkeypatch.delenv("NODE_CONFIG", raising=False)
    assert main(arguments) == 2
    said = capsys.readouterr()
    assert said.out == "" and len(said.err.splitlines()) == 1 and "Traceback" not in said.err


def test_without_the_libraries_the_gatekeeper_starts_and_a_sub_command_says_what_it_needs():
    def run(*arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-S", "-B", "-m", "pepperrun", *arguments],
            capture_output=True,
            text=True,
            cwd=ROOT,
            env={"PATH": os.environ["PATH"]},
        )

    assert "NODE_CONFIG" in run().stderr
    told = run("bench", "idle")
    assert told.returncode == 2 and "pepperrun[tools]" in told.stderr and len(told.stderr.splitlines()) == 1
    # What the platform starts imports none of what only the tools and other installations need.
    loaded = subprocess.run(
        [sys.executable, "-S", "-c", "import sys, pepperrun.__main__; print(*sorted(sys.modules))"],
        capture_output=True,
        text=True,
        cwd=ROOT,
    ).stdout.split()
    heavy = {
        "click",
        "structlog",
        "numpy",
        "subprocess",
        "pepperrun.parking.manager",
        "pepperrun.metrics.graphite",
    }
    assert not heavy & set(loaded) - {"subprocess"}  # asyncio itself loads that one


def test_log_lines_are_json_where_asked_for(tmp_path):
    config = tmp_path / "config.json"
    config.write_text(json.dumps({"listen": "192.0.2.1:1", "settings": idle_settings()}))
    done = subprocess.run(
        [sys.executable, "-m", "pepperrun", "--log-format", "json"],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=os.environ | {"NODE_CONFIG": str(config)},
    )
    assert done.returncode == 1  # that address is not this machine's
    program = (
        "from pepperrun.log import enable_json, log_message; enable_json();"
        " [log_message('k', 'x') for _ in range(3)]"
    )
    lines = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, cwd=ROOT).stderr
    (line,) = [json.loads(line) for line in lines.splitlines()]  # one of a kind in a second, as ever
    assert (line["event"], line["kind"], line["level"]) == ("x", "k", "info")


def idle_settings() -> object:
    from pepperrun.bench.rig import SETTINGS

    return SETTINGS


def test_the_bench_measures_a_small_step_and_leaves_nothing_behind(tmp_path):
    plan = idle.Plan((60,), rate=40, burst=2, steady_s=0.5, burst_s=0.5, silent_s=0.3, wake=30, around_s=1.0)
    said: list[str] = []
    found = idle.run(plan, 1, said.append)
    (step,) = found["steps"]
    assert step["opened"]["opened"] == 60 and step["wake"]["good"] == step["wake"]["asked"] == 28
    assert step["due_together"]["closed"] == 60 and len(said) >= 6
    for load in ("steady", "burst"):
        assert step["beside"][load]["statuses"] == {"200": step["beside"][load]["asked"]}
    assert "at none of these" in idle.table(found) or found["suffers"] == 60
    from pepperrun.bench.plots import idle_plot

    idle_plot(found, tmp_path / "plot.svg")
    assert "silent connections" in (tmp_path / "plot.svg").read_text()


def test_time_outs_are_measured_from_the_clients_side_and_a_dead_gatekeeper_is_told():
    late = idle.timeouts(50, idle.CLIENTS, 0.3, print, after_s=0.5)
    assert 50 <= late["closed"] == late["opened"]["opened"] and late["early"] == 0
    with Rig(None) as rig, pytest.raises(RigError, match="ended"):
        rig.child("askers", HOST, "no port", cpus={0}).answer()
