"""The tool that writes and checks configurations."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pepperrun.config import read_config
from pepperrun.core.interface import Group, Repeat
from pepperrun.tool.__main__ import main
from pepperrun.tool.application import configurations, remarks

EXAMPLES = Path(__file__).parent.parent / "examples"
CLINIC = (EXAMPLES / "clinic.toml").read_text()


def test_what_it_writes_is_what_the_program_reads(tmp_path, capsys):
    assert main(["write", str(EXAMPLES / "clinic.toml"), "--out", str(tmp_path)]) == 0
    one, two = (read_config((tmp_path / f"n{n}.json").read_text(), {}) for n in (0, 1))
    assert (one.listen, two.listen) == (("127.0.0.1", 8443), ("127.0.0.1", 8444))
    assert (one.settings.me, two.settings.me, two.settings.gateways) == (0, 1, 2)
    assert one.peers == two.peers == (("127.0.0.1", 7946), ("127.0.0.1", 7947))
    assert one.settings.peer_messages and one.discovery is None
    search, confirm = one.settings.classes
    assert (search.repeat, search.target_ns, search.deadline_ns) == (Repeat.SAFE, 2 * 10**9, 8 * 10**9)
    assert (confirm.repeat, confirm.group, confirm.window_ns) == (Repeat.KEYED, Group.CELL, 10**10)
    large = one.settings.plans[1]
    assert (large.rate, large.burst, large.ceiling_rate, large.ceiling_slack) == (15, 33, 30, 7)
    assert [line.name for line in one.known.endpoints] == ["w0", "w1"]
    assert main(["check", *map(str, tmp_path.iterdir()), *map(str, EXAMPLES.glob("*.json"))]) == 0
    assert capsys.readouterr().out.count(", ok") == 4


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('wanted = "2s"', 'wanted = "2"', "class.search.wanted"),
        ('wanted = "2s"', 'wanted = "9s"', "class.search.wanted"),
        ('repeat = "safe"', 'repeat = "maybe"', "class.search.repeat"),
        ("rate = 2\n", "rat = 2\n", "plan.rat"),
        ("burst = 8", "burst = 2", "plan.small.burst"),
        ('name = "n1"', 'name = "n0"', "gatekeeper.name"),
        ('peer_listen = "127.0.0.1:7947"', "", "gatekeeper.peer_listen"),
        ('admin = "127.0.0.1:9802"', 'admin = "9802"', "gatekeeper.n1.admin"),
        ('address = "127.0.0.1:9002"', 'address = "here"', "worker.w1.address"),
        ("[limits]", "[limit]", "limit"),
        ("[limits]", "[limits", "not TOML"),
    ],
)
def test_a_slip_in_the_applications_file_is_named(tmp_path, capsys, old, new, key):
    assert old in CLINIC
    path = tmp_path / "app.toml"
    path.write_text(CLINIC.replace(old, new))
    assert main(["check", str(path)]) == 2
    assert main(["write", str(path), "--out", str(tmp_path / "out")]) == 2
    assert not (tmp_path / "out").exists()
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2 and lines[0].startswith(f"{path}: {key}: ")


def test_a_name_that_leads_out_of_the_folder_is_refused(tmp_path):
    path = tmp_path / "app.toml"
    path.write_text(CLINIC.replace('name = "n1"', 'name = "../n1"'))
    assert main(["write", str(path), "--out", str(tmp_path / "out")]) == 2
    assert not (tmp_path / "n1.json").exists()


def test_what_can_be_read_and_may_be_wrong_is_remarked(tmp_path, capsys):
    config = next(iter(configurations(CLINIC).values()))
    assert remarks(json.dumps(config)) == []
    config["known"]["servers"] = []
    config["peers"] = config["peers"][:1]
    path = tmp_path / "n0.json"
    path.write_text(json.dumps(config))
    assert main(["check", str(path)]) == 1
    out = capsys.readouterr().out
    assert "known.servers: " in out and "peers: 1 addresses for 2" in out


def test_a_file_that_is_no_good_gives_2_and_the_others_are_checked_all_the_same(tmp_path, capsys):
    bad = tmp_path / "bad.json"
    bad.write_text('{"servers": []}')
    assert main(["check", str(bad), str(tmp_path / "missing"), str(EXAMPLES / "clinic.toml")]) == 2
    got = capsys.readouterr()
    assert "clinic.toml: application, ok" in got.out
    assert f"{bad}: servers: " in got.err and "missing" in got.err


@given(st.text(max_size=60) | st.lists(st.sampled_from(CLINIC.splitlines(keepends=True))).map("".join))
def test_garbage_is_a_value_error_that_names_something(text):
    try:
        configurations(text)
    except ValueError as error:
        assert ": " in str(error)
