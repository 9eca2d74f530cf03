"""Membership in real processes: the tool, command-line options, the admin call, key rotation by SIGHUP."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import stat
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from pepperrun.__main__ import main
from pepperrun.admin.client import query_json
from pepperrun.bench.rig import ROOT
from pepperrun.cli.members import worded
from pepperrun.lab.ports import free_ports
from pepperrun.lab.processes import dies_with_us
from pepperrun.membership.config import membership_from_json, membership_from_table
from pepperrun.tool.application import configurations
from pepperrun.tool.commands import check, write

HOST = "127.0.0.1"
APPLICATION_TAIL = (ROOT / "examples/clinic.toml").read_text().split("[[worker]]", 1)[1]


def application(ports: list[int], members: str = "[members]\n") -> str:
    """An application file of three gatekeepers, with listen, admin and peer addresses from nine ports."""
    text = 'name = "a"\nzones = ["here"]\n' + members
    for number in range(3):
        listen, admin, peer = ports[3 * number : 3 * number + 3]
        text += f'[[gatekeeper]]\nname = "n{number}"\nlisten = "{HOST}:{listen}"\n'
        text += f'admin = "{HOST}:{admin}"\npeer_listen = "{HOST}:{peer}"\n'
    return text + "[[worker]]" + APPLICATION_TAIL


def ports() -> list[int]:
    import socket

    return free_ports(9, socket.SOCK_STREAM)


def test_tool_creates_the_key_once_and_every_configuration_names_it(tmp_path: Path) -> None:
    file = tmp_path / "a.toml"
    file.write_text(application(ports()))
    written = write(file, tmp_path / "out")
    key = tmp_path / "out" / "members.key"
    assert key in written and stat.S_IMODE(key.stat().st_mode) == 0o600
    first = key.read_text()
    assert key not in write(file, tmp_path / "out") and key.read_text() == first
    table = json.loads((tmp_path / "out" / "n1.json").read_text())["members"]
    found = membership_from_table(table, tmp_path / "out")
    assert found.names == ("n0", "n1", "n2") and found.probe_period_ns == 200_000_000 and found.zone == "here"
    assert check(tmp_path / "out" / "n1.json") == ("gatekeeper", [])
    key.write_text("1 secret-no-hex\n")
    with pytest.raises(ValueError, match=r"members\.key_file: .*line 1") as raised:
        check(tmp_path / "out" / "n1.json")
    assert "secret" not in str(raised.value)


@pytest.mark.parametrize(
    ("members", "text"),
    [
        ("[members]\nperoid = '1s'\n", "members.peroid: no such key"),
        ("[members]\nperiod = 'soon'\n", "members.period: 'soon' is not a time"),
        ("[members]\nperiod = '1ms'\n", "members.period_ms: must be from 50"),
        ("members = 3\n", "members: not a dict"),
    ],
)
def test_invalid_tables_are_reported_by_their_key(members: str, text: str) -> None:
    with pytest.raises(ValueError) as raised:
        configurations(application(ports(), members))
    assert text in str(raised.value)


def test_members_need_peers_and_the_file_is_checked(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    without_peers = (
        'name = "a"\n[members]\n[[gatekeeper]]\nname = "n0"\nlisten = "127.0.0.1:1"\n[[worker]]'
        + APPLICATION_TAIL
    )
    with pytest.raises(ValueError, match="members: gatekeeper.peer_listen is missing"):
        configurations(without_peers)
    file = tmp_path / "members.json"
    for bad in ("{", "[]", '{"key": 1}', '{"key_file": 3}', '{"key_file": "k", "suspect_ms": "x"}'):
        file.write_text(bad)
        with pytest.raises(ValueError):
            membership_from_json(file.read_text(), tmp_path)
    file.write_text('{"key_file": "nowhere.key"}')
    (tmp_path / "a.toml").write_text(application(ports(), ""))
    write(tmp_path / "a.toml", tmp_path / "out")
    env = os.environ | {"NODE_CONFIG": str(tmp_path / "out" / "n0.json")}
    for arguments in (
        ["--members", str(file)],
        ["--members", str(tmp_path / "none")],
        ["--clock-offset", "x"],
    ):
        ended = subprocess.run(
            [sys.executable, "-S", "-m", "pepperrun", *arguments],
            env=env,
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        assert ended.returncode == 2 and len(ended.stderr.strip().splitlines()) == 1
    assert main(["members", "nonsense"]) == 2 and main(["members", f"{HOST}:1"]) == 2
    assert len(capfd.readouterr().err.strip().splitlines()) == 2


@contextlib.contextmanager
def three_gatekeepers(folder: Path, numbers: list[int]) -> Iterator[list[subprocess.Popen[bytes]]]:
    """Three gatekeeper processes configured as peers."""
    (folder / "a.toml").write_text(application(numbers))
    write(folder / "a.toml", folder)
    running = []
    for number in range(3):
        env = os.environ | {"NODE_CONFIG": str(folder / f"n{number}.json")}
        command = [sys.executable, "-S", "-B", "-m", "pepperrun"]
        running.append(
            subprocess.Popen(command, env=env, cwd=ROOT, stderr=subprocess.DEVNULL, preexec_fn=dies_with_us())
        )
    try:
        yield running
    finally:
        for process in running:
            process.kill()
            process.wait()


def wait_until(holds: Callable[[], bool], seconds: float = 20.0) -> None:
    limit = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < limit
        time.sleep(0.02)


def test_operators_see_a_death_a_graceful_leave_and_a_key_rotation(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    numbers = ports()
    admins = [(HOST, numbers[3 * n + 1]) for n in range(3)]

    def tables() -> list[dict[str, Any]]:
        found = []
        for address in admins:
            with contextlib.suppress(OSError, ValueError):
                found.append(query_json(address))
        return found

    def all_present() -> bool:
        return [t["step"] for t in tables()] == ["whole"] * 3

    with three_gatekeepers(tmp_path, numbers) as running:
        wait_until(all_present)
        assert main(["members", f"{HOST}:{numbers[1]}", "--json"]) == 0
        shown = json.loads(capfd.readouterr().out)
        assert [row["name"] for row in shown["members"]] == ["n0", "n1", "n2"] and shown["view"][
            "members"
        ] == [0, 1, 2]
        # Rotates the key in three steps; each process reads it again, and no member is lost meanwhile.
        key = tmp_path / "members.key"
        old = key.read_text().splitlines()[-1]
        new = "2 " + "ab" * 32
        for text in (f"{old}\n{new}\n", f"{new}\n{old}\n", f"{new}\n"):
            key.write_text(text)
            for process in running:
                process.send_signal(signal.SIGHUP)
            sent = [t["counts"]["heard"] for t in tables()]
            wait_until(
                lambda sent=sent: all(
                    t["counts"]["heard"] > was + 5 for t, was in zip(tables(), sent, strict=True)
                )
            )
        assert all_present() and sum(t["counts"]["buried"] for t in tables()) == 0
        # A death is detected by both others, and the admin call shows it.
        running[2].kill()
        wait_until(lambda: [t["step"] for t in tables()] == ["without"] * 2)
        assert main(["members", f"{HOST}:{numbers[1]}"]) == 1
        assert "n2" in capfd.readouterr().out and "dead" in worded(query_json(admins[0]))
        # After a graceful leave nobody is suspected, and the remaining member counts the other as left.
        suspected = query_json(admins[0])["counts"]["suspected"]
        running[1].send_signal(signal.SIGTERM)
        assert running[1].wait(20) == 0
        wait_until(lambda: query_json(admins[0])["members"][1]["state"] == "left")
        assert query_json(admins[0])["counts"]["suspected"] == suspected
        events = query_json(admins[0], "members since 0")["events"]
        assert {"dead", "left", "view", "step"} <= {event["what"] for event in events}
