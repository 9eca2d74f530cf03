"""Formats, exports and crashes of the durable state, and explanations from log files."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from standins import SECOND, StandIn, answer, going
from test_dataplane import Cluster, ok, route
from test_storage import CONTACTS, ME, disk_with_accepted_value

from pepperrun import operatorctl
from pepperrun.consensus.state import FIRST_DISK_ID
from pepperrun.core.interface import Outcome
from pepperrun.dataplane.trace import LogRateLimit, RequestTrace
from pepperrun.foundation import logs
from pepperrun.foundation.errors import PepperrunError
from pepperrun.operator import explain, loss_accounting, report, state
from pepperrun.operator.event_log import parse_pairs, read_events
from pepperrun.simulation import crashes, replays
from pepperrun.storage import formats, records
from pepperrun.storage.store import DiskStore


def format_0_records(folder: Path) -> dict[bytes, bytes]:
    """Returns the records in an invented format 0, in which each proposal contains its body."""
    raw = state.raw_records(folder)
    out: dict[bytes, bytes] = {}
    for name in records.RECORD_NAMES:
        data = records.decode_record(raw[name.encode()], name)
        if name == "life":
            data = [0, *data[1:]]
        elif name != "promised":
            data.append(records.decode_record(raw[f"body:{data[1][4]}".encode()], "body"))
        out[name.encode()] = records.encode_record(data)
    return out


def migrate_from_format_0(old: dict[str, Any]) -> dict[str, Any]:
    """Migrates a state from format 0 to format 1."""
    new = old | {"life": [1, *old["life"][1:]]}
    for name in ("accepted", "chosen"):
        ballot, value, body = old[name]
        new |= {name: [ballot, value], f"body:{value[4]}": body}
    return new


def test_an_older_format_is_migrated_and_stored_in_the_current_format(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    memory = disk_with_accepted_value(tmp_path, 2000)
    raw = format_0_records(tmp_path)
    with pytest.raises(PepperrunError, match="no migration leads on from format 0"):
        records.read_state(raw)
    monkeypatch.setitem(formats.MIGRATIONS, 0, migrate_from_format_0)
    assert records.read_state(raw) == memory
    disk = DiskStore(str(tmp_path))
    with disk._open().begin(write=True) as transaction:
        for key in [bytes(key) for key in transaction.cursor().iternext(values=False)]:
            transaction.delete(key)
        for key, data in (raw | {b"extra": records.encode_record(1)}).items():
            transaction.put(key, data)
    disk.close()
    assert DiskStore(str(tmp_path)).load_or_create("s", ME, []) == replace(memory, starts=memory.starts + 1)
    monkeypatch.delitem(formats.MIGRATIONS, 0)
    again = state.raw_records(tmp_path)
    assert not records.find_problems(again) and b"extra" not in again
    with pytest.raises(PepperrunError, match="disk-newer"):
        records.read_state({b"life": records.encode_record([formats.CURRENT_FORMAT + 1])})


def test_a_restored_copy_never_keeps_the_disk_id_unless_retired(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    memory, file = disk_with_accepted_value(tmp_path / "a", 2000), tmp_path / "copy.json"

    def run(*words: object) -> int:
        return operatorctl.main(["state", *map(str, words)])

    assert run("check", tmp_path / "a") == 0 and run("export", tmp_path / "a", file) == 0
    assert run("restore", tmp_path / "b", file, "--same-life") == 1 and "retire" in capsys.readouterr().err
    assert run("restore", tmp_path / "a", file) == 1  # not empty
    assert run("restore", tmp_path / "b", file) == 0
    made = DiskStore(str(tmp_path / "b")).load_or_create("s", ME, CONTACTS)
    # Neither its promises nor the chosen value: the other nodes provide both, even if first_run is true.
    assert (
        made.disk_id not in (memory.disk_id, FIRST_DISK_ID)
        and made.chosen is None
        and made.promised.round == -1
    )
    # A retired disk id continues once, and not in the old folder.
    assert run("export", tmp_path / "a", file, "--retire") == 0
    assert run("restore", tmp_path / "c", file, "--same-life") == 0
    assert run("restore", tmp_path / "d", file, "--same-life") == 1
    with pytest.raises(PepperrunError, match="disk-other"):
        # The first disk id of that machine is `first` as well.
        DiskStore(str(tmp_path / "c")).load_or_create("s", "10.0.0.2", [])
    assert DiskStore(str(tmp_path / "c")).load_or_create("s", ME, []) == replace(
        memory, starts=memory.starts + 1
    )
    assert DiskStore(str(tmp_path / "a")).load_or_create("s", ME, CONTACTS).disk_id not in (
        memory.disk_id,
        FIRST_DISK_ID,
    )
    file.write_text(file.read_text().replace('"x"', '"y"', 1))
    assert run("restore", tmp_path / "e", file) == 2


def test_damaged_and_missing_records_are_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    disk_with_accepted_value(tmp_path, 2000)
    file = tmp_path / "data.mdb"
    data = bytearray(file.read_bytes())
    at = data.rindex("é".encode() * 100)
    data[at : at + 2] = b"ab"
    file.write_bytes(data)
    raw = state.raw_records(tmp_path)
    assert len(records.find_problems({**raw, b"chosen": b"x" * 40})) == 2
    del raw[b"promised"]
    assert "The record promised is missing." in records.find_problems(raw)
    assert operatorctl.main(["state", "check", str(tmp_path)]) == 1
    assert capsys.readouterr().out.count("The checksum of body:") == 1
    assert operatorctl.main(["state", "check", str(tmp_path / "none")]) == 2


def test_synced_state_survives_kills_and_power_failures(tmp_path: Path) -> None:
    assert crashes.kills(5, 1, tmp_path) == {"whole": 5}
    found = crashes.cuts(100, 1, tmp_path, saves=10)
    assert not crashes.wrong(found) and found.total() == 111
    assert {text.partition(":")[0] for text in found} == {"synced", "pages", "head"}


def test_each_crash_point_of_recorded_saves_recovers_a_consistent_state(tmp_path: Path) -> None:
    disk = replays.recorded(tmp_path / "disk", 2, 2)
    disk.saves_seen = disk.saves_seen[-4:]
    found = replays.replay(tmp_path, disk)
    assert not replays.wrong(disk, found) and found.total() > 100 and disk.said.total() > 4
    assert {text.partition(":")[0] for text in found} > {"page cut", "page written", "head cut", "synced"}
    # The replay detects a save that reports a sync but wrote nothing, or everything except the head.
    save = disk.saves_seen[-1]
    for after in (
        save.before,
        [image for moment, image in replays.states(save) if moment == "page written"][-1],
    ):
        disk.saves_seen = [save._replace(after=after)]
        assert replays.wrong(disk, replays.replay(tmp_path, disk)) == 1


# Explanations from log files.


def write_log(path: Path, *lines: tuple[float, str, dict[str, Any]]) -> Path:
    prefix = "I0102 03:04:{:09.6f} 12345 logs.py:34] {}"
    path.write_text(
        "noise\n" + "\n".join(prefix.format(at, logs.format_event(name, pairs)) for at, name, pairs in lines)
    )
    return path


def test_a_request_is_explained_and_one_served_at_the_first_attempt_is_not_logged(tmp_path: Path) -> None:
    logged: list[tuple[float, str, dict[str, Any]]] = []

    async def test() -> None:
        cluster = Cluster(route("r", "/p/", route_kind="unsafe", tries=1))
        front = cluster.plane.front
        cluster.plane.log_requests(100)
        front.trace = RequestTrace(front, 100, lambda name, **pairs: logged.append((1, name, pairs)))
        cluster.plane.gatekeeper.observer = front.trace.finished
        full = answer(503, b"", b"Not-Run: 1", b"Attempt-Id: i1")
        worker = await StandIn(ok(), full).start()
        cluster.add_worker("w1", worker.port)
        for expected in (200, 503):
            client = await cluster.ask()
            assert (await client.answer())[0] == expected
        assert (await (await cluster.ask(key="none")).answer())[0] == 401
        cluster.fresh = 1
        assert (await (await cluster.ask(Attempt_Id="i9")).answer())[0] == 503
        await asyncio.sleep(0)
        assert not front.trace.final_answers

    going(test)
    first, second, third = (pairs for _, _, pairs in logged)
    assert (first["status"], first["reason"], first["tenant"]) == (503, "tries", "ann")
    assert first["tries"].startswith("w1/") and f"/{Outcome.FULL.value}/" in first["tries"]
    assert (second["status"], second["reason"]) == (401, "key") and third["reason"] == "fence"
    events = read_events([write_log(tmp_path / "g1.log", *logged)])
    text = "\n".join(explain.explain_attempt("i1", events))
    assert "g1: answered 503" in text and "to w1: full" in text and "no such key" in text
    assert "No line tells of i2" in explain.explain_attempt("i2", events)[0]


def test_log_lines_are_limited_and_omitted_ones_are_counted() -> None:
    limit = LogRateLimit(2, 0)
    assert [limit.allow(0) for _ in range(5)] == [True, True, False, False, False]
    assert limit.allow(SECOND // 2) and limit.suppressed == 3


def test_a_change_is_traced_to_each_gatekeeper(tmp_path: Path) -> None:
    agreed = {"number": 7, "edition": 40}
    order = {"do": "replace", "edition": 40, "status": 200, "ms": 100, "detail": "a b"}
    paths = [
        write_log(
            tmp_path / "c.log",
            (1, "starting", {"station": "core 1"}),
            (2.05, "agreed", agreed),
            (2.1, "order", order),
        ),
        write_log(tmp_path / "g.log", (2.2, "agreed", agreed | {"station": "g1", "depth": 1})),
        write_log(tmp_path / "h.log", (2.5, "agreed", agreed | {"station": "g2", "depth": 2})),
        write_log(tmp_path / "i.log", (1.5, "agreed", {"number": 6, "edition": 30, "station": "g3"})),
    ]
    events = read_events(paths)
    text = explain.explain_change(7, events)
    assert "called at core 1 (replace), answered after 100 ms" in text
    assert "  core core 1: 50 ms" in text and text[-1] == "slowest: g2, 500 ms"
    assert "  gatekeeper g3: no line of it, it went on to a later one or never had it" in text
    out = tmp_path / "page.html"
    assert operatorctl.main(["report", *map(str, paths), "--out", str(out)]) == 0
    assert out.read_text().count("data:image/png") == 4
    assert [round(ms) for _, number, ms in report.change_delays(events) if number == 7] == [200, 500]
    assert json.dumps(parse_pairs(logs.format_event("x", {"a": 'q "1" \\', "b": ""}))) == json.dumps(
        {"event": "x", "a": 'q "1" \\', "b": ""}
    )


def test_an_evacuation_is_traced_in_a_log_of_all_processes(tmp_path: Path) -> None:
    """An evacuation does not change the edition, and the clocks of these machines are hours apart."""

    def line(at: float, process: str, name: str, **pairs: Any) -> str:
        hour = len(process)
        prefix = f"I0102 {hour:02}:00:00.000000 1 logs.py:37]"
        return f"{at:9.4f} {process} {prefix} {logs.format_event(name, pairs)}"

    begun = {"do": "evacuate", "zone": "z1", "begin": True}
    ended = begun | {"begin": False}
    order = {"edition": 0, "status": 200, "detail": "done"}
    path = tmp_path / "all.txt"
    path.write_text(
        "\n".join(
            [
                "played in 3 s",
                line(-1, "s1", "agreed", number=3, edition=9, do="replace"),
                line(4.0, "s1", "agreed", number=4, edition=9, **begun),
                line(4.02, "s1", "order", ms=30, **begun, **order),
                line(4.1, "gate-1", "agreed", number=4, edition=9, station="gate-1"),
                line(5.0, "s1", "order", ms=2, **begun, **order),  # repeated: the zone was evacuated already
                line(8.0, "s2", "agreed", number=5, edition=9, **ended),
                line(8.01, "s2", "order", ms=20, **ended, **order),
                line(8.5, "gate-1", "agreed", number=5, edition=9, station="gate-1"),
            ]
        )
    )
    events = read_events([path])
    assert explain.explain_change(4, events)[:2] == [
        "number 4, edition 9: zone z1 is evacuated",
        "called at s1 (evacuate), answered after 30 ms",
    ]
    assert "slowest: gate-1, 110 ms" in explain.explain_change(4, events)
    assert "number 5, edition 9: zone z1 is taken back" in explain.explain_change(5, events)
    assert "called at s2 (evacuate), answered after 20 ms" in explain.explain_change(5, events)


@pytest.mark.parametrize(
    ("reason", "status", "ms", "lost"),
    [
        ("served-later", 200, 399, 0),
        ("served-late", 200, 401, 0.5),
        ("full", 503, 100, 0.25),
        ("full", 503, 101, 1),
        ("out-of-time", 504, 90, 1),
        ("quota", 429, 400, 0),
        ("left", 0, 900, 0),
    ],
)
def test_lost_value_is_counted_by_cause_and_second(
    tmp_path: Path, reason: str, status: int, ms: int, lost: float
) -> None:
    pairs = {"id": "i", "aim": 400, "ms": ms, "status": status, "reason": reason}
    logged = [(at, "request", pairs) for at in (1.0, 1.2, 3.0)]
    events = read_events([write_log(tmp_path / "g.log", *logged, (3.5, "requests-left-out", {"count": 7}))])
    text = loss_accounting.format_table(events)
    rows = [row.split() for row in text[1:3]]
    assert [f"{3 * lost:.2f}", "3", reason] in rows and ["0.00", "7", "left", "out"] in rows
    losses = loss_accounting.find_losses(events)
    assert loss_accounting.lost_by_second(losses, events[0].time_s)[reason] == {
        0: 200 * lost,
        2: 100 * lost,
    }
    assert sum(row.startswith("second") for row in text) == (2 if lost else 0)
