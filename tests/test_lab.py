"""The lab: checkers find what is wrong, scenarios are checked, and real processes are broken."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest

from pepperrun.bench.players import Caller
from pepperrun.bench.rig import ROOT
from pepperrun.cli.lab import SHIPPED
from pepperrun.lab import checkers, explore, fuzz
from pepperrun.lab.checkers import Broken
from pepperrun.lab.load import load_of
from pepperrun.lab.measure import agreement, rows_of, virtual
from pepperrun.lab.ports import Ports
from pepperrun.lab.processes import Gatekeeper, dies_with_us
from pepperrun.lab.report import Document, interval, result, schema, table
from pepperrun.lab.run import Run, Seen
from pepperrun.lab.scenario import Fault, Fleet, Load, Must, Plan, Scenario, read_scenario, write_scenario
from pepperrun.lab.store import Results, paired
from pepperrun.lab.verdict import figures, verdict
from pepperrun.lab.workers import LabFleet

S = 1_000_000_000

# Scenarios.


def test_shipped_scenarios_read_and_say_what_they_are_for() -> None:
    paths = sorted(SHIPPED.glob("*.toml"))
    assert len(paths) >= 20
    for path in paths:
        scenario = read_scenario(path.read_text())
        assert scenario.name == path.stem and scenario.what.endswith(".")
        assert read_scenario(write_scenario(scenario)) == scenario
        assert load_of(scenario, 3) == load_of(scenario, 3)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("seconds = 0", "seconds"),
        ("secnods = 3", "secnods"),
        ("[fleet]\ngatekeepers = 1", "fleet.gatekeepers"),
        ("[fleet]\nlate = ['n7']", "fleet.late"),
        ("[fleet]\nregions = {x = 'r'}", "fleet.regions.x"),
        ("[[fault]]\nwhat = 'burn'", "fault[0].what"),
        ("[[fault]]\nwhat = 'kill'", "fault 1 (kill).names"),
        ("[[fault]]\nwhat = 'kill'\nnames = ['n9']", "fault 1 (kill).names"),
        ("[[fault]]\nwhat = 'cut'\nfrom = ['n0']", "fault 1 (cut)"),
        ("[[fault]]\nwhat = 'kill'\nnames = ['n0']\nat = 99", "fault 1 (kill).at"),
        ("[[fault]]\nwhat = 'replace'\nnames = ['n0']", "fleet.inherit"),
        (
            "[[fault]]\nwhat = 'kill'\nnames = ['n0']\nwhen = {at = 'n1', member = 'n0', state = 'gone'}",
            "when.state",
        ),
        ("[[plan]]\nname = 'p'\nrate = 5\nceiling_rate = 2", "plan.p.ceiling_rate"),
        ("[load]\nspread = 9", "load.spread"),
        ("name = ", "not TOML"),
    ],
)
def test_bad_scenarios_are_told_by_their_key(text: str, key: str) -> None:
    with pytest.raises(ValueError) as told:
        read_scenario("name = 'x'\nwhat = 'long enough'\n" + text if text != "name = " else text)
    assert key in str(told.value)


def test_fuzz_draws_by_seed_and_shrinks_to_what_fails() -> None:
    assert fuzz.draw(5) == fuzz.draw(5) != fuzz.draw(6)
    for seed in range(60):
        drawn = fuzz.draw(seed)
        assert read_scenario(write_scenario(drawn)) == drawn
    big = next(
        one
        for one in map(fuzz.draw, range(200))
        if len(one.fault) > 3 and any(f.what == "kill" for f in one.fault)
    )
    small, plays = fuzz.shrink(big, lambda one: any(fault.what == "kill" for fault in one.fault))
    assert [fault.what for fault in small.fault] == ["kill"] and small.fleet.gatekeepers == 3 and plays <= 40


# Checkers, on what was made up.


def seen_of(**changes: object) -> Seen:
    scenario = Scenario("made-up", "Made up for a test.", 5.0, Fleet(gatekeepers=3), Load(customers=1))
    final = {f"n{n}": {"view": {"digest": "a", "members": [0, 1, 2]}, "state": "member"} for n in range(3)}
    base: dict[str, object] = {
        "load": [[at * S // 10, 0, 1, 1, 1, 3, 0, 1000] for at in range(10)],
        **dict.fromkeys(("tries", "arrivals", "starts", "told", "events", "faults", "downs", "crashed"), []),
        **{"extra": 0, "final": final, "exits": {}, "late_ms": 0.0, "ends_at": 5 * S},
        "relay": {"members": 0, "members_bytes": 0},
    }
    return Seen(scenario, 1, **(base | changes))  # type: ignore[arg-type]


def rules_of(seen: Seen) -> set[str]:
    return {one.rule for one in checkers.check(seen)}


def arrival(
    at: float, worker: int, call: int = 0, number: int = 0, cls: int = 1, taken: int = 1
) -> list[int]:
    return [int(at * S), worker, 0, call, number, cls, 1, 1000, taken, int(at * S) + 5]


def test_checkers_find_each_broken_rule_and_nothing_else() -> None:
    assert rules_of(seen_of()) == set()
    served = [[0, 0, 0, 0, S, 200]]
    assert rules_of(seen_of(tries=served, arrivals=[arrival(0.1, 0), arrival(0.2, 1)])) == set()
    # Answers.
    assert rules_of(seen_of(extra=1)) == {"one answer"}
    assert rules_of(seen_of(tries=[[0, 0, 0, 0, S, 0]])) == {"one answer"}
    assert rules_of(seen_of(tries=[[0, 0, 0, 0, 0, -1]])) == {"one answer"}
    assert rules_of(seen_of(tries=[[0, 0, 0, 0, S, 0]], downs=[["n0", S // 2, S, "kill"]])) == set()
    assert rules_of(seen_of(tries=[[0, 0, 0, 3 * S, 4 * S, 0]], downs=[["n0", S // 2, S, "kill"]])) == {
        "one answer"
    }
    # A request crosses the end of its idle connection at SIGTERM; one that a worker has seen had been taken.
    crossing = [[0, 0, 0, S + S // 100, S + S // 50, 0]]
    stop = [["n0", S, 4 * S, "stop"]]
    assert rules_of(seen_of(tries=crossing, downs=stop)) == set()
    assert rules_of(seen_of(tries=crossing, downs=stop, arrivals=[arrival(1.01, 0)])) == {"one answer"}
    for sent in (S - S // 50, S + S // 10):
        assert rules_of(seen_of(tries=[[0, 0, 0, sent, S + S // 5, 0]], downs=stop)) == {"one answer"}
    # Repeats: another cell, and a refusal after it may have run.
    assert rules_of(seen_of(arrivals=[arrival(0.1, 0), arrival(0.2, 2)])) == {"repeats"}
    assert rules_of(seen_of(arrivals=[arrival(0.1, 0, taken=0), arrival(0.2, 2)])) == set()
    assert rules_of(seen_of(arrivals=[arrival(0.1, 0, cls=0), arrival(0.2, 2, cls=0)])) == set()
    assert rules_of(seen_of(arrivals=[arrival(0.1, 0)], tries=[[0, 0, 0, 0, S, 429]])) == {"repeats"}
    # Drains, with the protocol's 250 ms and 50 ms more; a worker that has started again is another.
    assert rules_of(seen_of(told=[[S, 0, 0, 0]], arrivals=[arrival(1.29, 0)])) == set()
    assert rules_of(seen_of(told=[[S, 0, 0, 0]], arrivals=[arrival(1.31, 0)])) == {"drains"}
    assert (
        rules_of(seen_of(told=[[S, 0, 0, 0]], starts=[[int(1.2 * S), 0]], arrivals=[arrival(1.31, 0)]))
        == set()
    )
    again = [[S, 0, 0, 0], [int(1.2 * S), 0, 0, 1]]  # it was back before a late list said that it was gone
    assert rules_of(seen_of(told=again, starts=[[S // 2, 0]], arrivals=[arrival(1.31, 0)])) == set()
    # Cold workers: 2.5 times what it can do, within 1.5 s.
    many = [[S + k, 0, 0, k, 0, 0, 1, 200_000_000, 1, 0] for k in range(40)]
    assert rules_of(seen_of(starts=[[S, 0]], arrivals=many, load=[[0, 0, 0, 0, 1, 3, 0, 1]] * 40)) == {
        "cold workers"
    }

    # Ceilings: 48 at once, 4.8 and 150 ms' worth beyond.
    def burst(count: int) -> Seen:
        rows = [arrival(1.0, 0, call) for call in range(count)]
        return seen_of(arrivals=rows, load=[[0, 0, 1, 1, 1, 3, 0, 1]] * count)

    assert rules_of(burst(55)) == set() and rules_of(burst(56)) == {"ceilings"}
    assert checkers.overshoots(burst(30)) == {1: 6.0} and checkers.beyond(burst(30)) == {1: 6.0}
    # Ends.
    assert rules_of(seen_of(crashed=["n1 ended with 1"])) == {"no crash"}
    assert rules_of(seen_of(exits={"n1": [0, -6]})) == {"no crash"}


def test_checkers_of_membership() -> None:
    final = seen_of().final
    apart = final | {"n2": {"view": {"digest": "b", "members": [0, 2]}, "state": "member"}}
    assert rules_of(seen_of(final=apart)) == {"one view"}
    cut = {"at": S, "what": "cut", "names": ["n2"], "on": True, "pairs": [[0, 2], [2, 0]]}
    assert rules_of(seen_of(final=apart, faults=[cut])) == set()  # still cut: nothing is to be agreed
    dead = {"who": "n0", "at": 2 * S, "what": "dead", "member": 2, "by": 1, "detail": ""}
    assert len(checkers.false_burials(seen_of(events=[dead]))) == 1
    assert checkers.false_burials(seen_of(events=[dead], faults=[cut])) == []
    assert checkers.false_burials(seen_of(events=[dead], downs=[["n2", S, 3 * S, "kill"]])) == []

    def step(who: str, at: float, word: str) -> dict[str, object]:
        return {"who": who, "at": int(at * S), "what": "step", "member": 0, "by": 0, "detail": word}

    def gone(who: str, at: float, member: int) -> dict[str, object]:
        return {"who": who, "at": int(at * S), "what": "dead", "member": member, "by": 0, "detail": ""}

    both = [
        *(gone("n0", 1, 2), gone("n0", 1, 2) | {"what": "view"}, step("n0", 1, "without")),
        *(gone("n2", 1, 0), gone("n2", 1, 1), gone("n2", 1, 2) | {"what": "view"}),
        step("n2", 1.1, "without"),
    ]
    assert "one larger side" in rules_of(seen_of(events=both, faults=[cut]))
    assert "one larger side" not in rules_of(seen_of(events=both[:-1], faults=[cut]))
    named = msgspec.structs.replace(seen_of().scenario, must=Must(refused=["n2"]))
    assert {one.rule for one in checkers.refused(msgspec.structs.replace(seen_of(), scenario=named))} == {
        "names"
    }


def test_errors_are_counted_against_the_same_run_without_faults() -> None:
    rows = [arrival(1.0, 0, call) for call in range(60)]
    load = [[0, 0, 1, 1, 1, 3, 0, 1]] * 60
    disturbed = seen_of(arrivals=rows[:50], load=load)
    calm = seen_of(arrivals=rows[:30], load=load)
    found = figures(disturbed, calm)
    assert (found["overshoot"], found["calm_overshoot"], found["added_overshoot"]) == (26.0, 6.0, 20.0)
    assert [one.rule for one in verdict(disturbed, found)] == ["quota error"]  # no fault explains any
    assert figures(disturbed)["added_overshoot"] is None
    assert [one.rule for one in verdict(disturbed, figures(disturbed))] == []


def test_results_are_kept_compared_and_told(tmp_path: Path) -> None:
    store, seen = Results(tmp_path / "r.sqlite"), seen_of()
    found = figures(seen)
    store.add("a", "made-up", 1, "", found, [Broken("drains", S, "x")])
    store.add("a", "made-up", 1, "", found | {"service": 0.5}, [])  # played again: replaced
    store.add("b", "made-up", 1, "", found, [])
    rows = store.rows()
    assert len(rows) == 2 and rows[0]["figures"]["service"] == 0.5 and rows[0]["broken"] == []
    assert list(paired(store.rows("a"), store.rows("b"))) == ["made-up"]
    (tmp_path / "bad").write_text("no base")
    with pytest.raises(ValueError):
        Results(tmp_path / "bad")
    assert interval([1.0, 1.0, 1.0]) == (1.0, 1.0, 1.0)
    one = result(seen, "a", "", found, [Broken("drains", S, "x")])
    assert "BROKEN drains" in table([one])
    assert msgspec.convert(msgspec.to_builtins(Document(1, [one])), Document).runs[0].scenario == "made-up"
    assert "Document" in str(schema())


# The search over schedules, and the protocol in virtual time.


def test_search_finds_bugs_that_were_put_in_and_none_without() -> None:
    assert explore.search(3, 1, 12, ("lose", "overtake", "double", "timer", "pause")).broken == []
    for name in ("meek", "proud"):
        found = explore.search(3, 1, 12, ("pause",), explore.MUTANTS[name], most_broken=1)
        assert found.broken, name
    one = explore.play(4, [explore.Deviation(3, "cut", 0, 1), explore.Deviation(5, "crash", 2)], 8, ("lose",))
    again = explore.play(
        4, [explore.Deviation(3, "cut", 0, 1), explore.Deviation(5, "crash", 2)], 8, ("lose",)
    )
    assert one.broken == "" and one.states == again.states


def test_virtual_detection_is_measured() -> None:
    row = virtual(5, 0.0, 1, 2)
    assert row["faults"] == {"kill": 2, "pause": 2, "cut": 2} and row["false_burials"] == 0
    assert 0 < row["kill_s"]["worst"] < 1.5 and row == virtual(5, 0.0, 1, 2)


def test_agreement_is_measured() -> None:
    found = agreement(6, 1)
    assert list(found) == ["mass kill", "all back", "halves", "heal", "rolling restart"]
    assert found["mass kill"][1] >= 1 and found["rolling restart"][1] >= 6
    assert found == agreement(6, 1)


# Real processes.


SETTLE_S = 30.0  # for a killed process to be back in all views, however busy the machine is


def broken_on_purpose() -> Scenario:
    """Six gatekeepers: a two-way and a one-way cut, a pause and a kill, one after the other's end.

    The one-way cut lasts several times as long as it takes to be found at rest: at a load of 30 on 8 cores n2
    doubted itself after 1.1 to 2.5 s.
    """
    faults = [
        Fault("cut", 0.5, None, 4.0, from_=["n0", "n1"], to=["rest"]),
        Fault("cut", 7.5, None, 10.0, from_=["n2"], to=["rest"], both=False),
        Fault("pause", 20.5, None, 3.0, names=["n3"]),
        Fault("kill", 26.0, None, 3.0, names=["n4"]),
    ]
    plans = [Plan("plain", 20.0, 60.0), Plan("capped", 20.0, 60.0, 40.0, 90.0, 0.0)]
    load = Load(customers=4, calm=0.2, heavy=0.0, work_ms=5.0, deadline_s=4.0, wanted_s=4.0)
    must = Must(false_burials=0, quota_error=False)
    return Scenario(
        "ci", "What CI breaks with real processes.", 31.0, Fleet(gatekeepers=6), load, plans, faults, must
    )


def test_six_real_processes_through_kill_pause_and_cuts(tmp_path: Path) -> None:
    seen = Run(broken_on_purpose(), 1, keep=tmp_path, settle_s=SETTLE_S).run()
    assert verdict(seen, figures(seen)) == []
    at = {fault["what"]: fault["at"] for fault in seen.faults if fault["on"]}
    two_way = next(fault["at"] for fault in seen.faults if fault["what"] == "cut")

    def said(what: str, member: int, after: int) -> set[str]:
        return {
            e["who"] for e in seen.events if e["what"] == what and e["member"] == member and e["at"] > after
        }

    # Both sides of the two-way cut found it, and one took itself for the larger one.
    assert said("dead", 0, two_way) >= {"n2", "n3", "n4", "n5"} and said("dead", 5, two_way) >= {"n0", "n1"}
    steps = {(e["who"], e["detail"]) for e in seen.events if e["what"] == "step"}
    assert {("n2", "without"), ("n0", "slices")} <= steps
    # Who is not heard doubts itself; who stood still too; the killed one was found by all.
    assert ("n2", "doubt") in steps and ("n3", "doubt") in steps
    assert said("dead", 4, at["kill"]) >= {"n0", "n1", "n2", "n3", "n5"}
    assert {row[5] for row in seen.tries} & {200} and seen.extra == 0


def test_nothing_is_left_behind_when_the_lab_is_ended() -> None:
    command = [sys.executable, "-m", "pepperrun", "lab", "run", "quiet"]
    lab = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
    children = Path(f"/proc/{lab.pid}/task/{lab.pid}/children")
    started: set[int] = set()
    limit = time.monotonic() + 30
    while time.monotonic() < limit and len(started) < 7:  # the lab's three and some gatekeepers
        started |= {int(pid) for pid in children.read_text().split()}
        time.sleep(0.02)
    assert len(started) >= 5
    lab.send_signal(signal.SIGKILL)
    lab.communicate()
    while time.monotonic() < limit + 10 and any(Path(f"/proc/{pid}").exists() for pid in started):
        time.sleep(0.02)
    assert [pid for pid in started if Path(f"/proc/{pid}").exists()] == []


def test_two_labs_beside_each_other_take_no_port_of_each_other() -> None:
    one, other = Ports(), Ports()  # each holds its blocks as another process would
    kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    taken = [set(lab.take(150, kind)) for lab in (one, other, one, other) for kind in kinds]
    mine, others = set().union(*taken[0:2], *taken[4:6]), set().union(*taken[2:4], *taken[6:8])
    assert len(mine) == len(others) == 600 and not mine & others
    back = sorted(taken[0])[:3]
    one.give_back(back)
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as held:
        held.bind(("127.0.0.1", back[0]))
        held.listen()
        assert back[0] not in one.take(300, socket.SOCK_STREAM)
    for guard in (*one.guards, *other.guards):
        guard.close()


def test_two_larger_sides_are_told_by_the_views_that_were_held_not_by_who_was_found_dead_since() -> None:
    def said(who: int, at: float, what: str, member: int = 0, detail: str = "") -> dict[str, object]:
        return {
            "who": f"n{who}",
            "at": int(at * S),
            "what": what,
            "member": member,
            "by": who,
            "detail": detail,
        }

    # n2 is lost; both go on without it. Then both find a cut, and their views change a moment later.
    both = [said(who, 1, what, 2) for who in (0, 1) for what in ("dead", "view")]
    both += [said(who, 1, "step", detail="without") for who in (0, 1)]
    both += [said(0, 2, "dead", 1), said(1, 2, "dead", 0)]
    late = [
        said(who, 2.3, what, detail=step)
        for who in (0, 1)
        for what, step in (("view", "1"), ("step", "alone"))
    ]
    assert "one larger side" not in rules_of(seen_of(events=both + late))
    # Each takes the new view for that of a larger side: that is the rule broken.
    wrong = [said(who, 2.3, "view", detail="1") for who in (0, 1)]
    assert "one larger side" in rules_of(seen_of(events=both + wrong))


def test_a_late_list_does_not_undo_a_newer_one() -> None:
    async def play() -> list[str]:
        given = {"cold_s": 1.0, "cores": 1, "slots": 4, "cold_from": 0.3, "late_s": 0.2, "zones": ["a"]}
        fleet = LabFleet(given | {"workers": 2})
        fleet.nodes[0].state = "Gone"
        fleet.keep(fleet._tell())
        await asyncio.sleep(0)
        fleet.late_s, fleet.nodes[0].state, fleet.nodes[1].state = 0.0, "Ready", "Gone"
        await fleet._tell()
        while fleet.tasks:
            await asyncio.wait(set(fleet.tasks))
        return list(fleet.states)

    assert asyncio.run(play()) == ["Ready", "Gone"]


def test_one_that_was_told_to_end_while_it_stood_still_ends_once_it_goes_on() -> None:
    fleet = SimpleNamespace(inherit=False)
    lab = SimpleNamespace(ports={"admin": [1]}, scenario=SimpleNamespace(fleet=fleet))
    one = Gatekeeper(lab, 0)  # type: ignore[arg-type]
    for served, exits in ((True, [-15]), (False, [])):
        code = "import time; time.sleep(60)"
        process = subprocess.Popen([sys.executable, "-c", code], preexec_fn=dies_with_us(None))
        one.process, one.served, one.exits, one.old, one.unready = process, served, [], [], []
        one.pause(True)
        one.stop()
        one.kill()  # nothing is there to be killed; what drains stands still as before
        assert one.draining() and not one.up()
        one.pause(False)
        process.wait(10)
        assert not one.draining()
        one.end()
        assert one.exits == exits  # who had not served yet is not judged by how it ended


def test_rows_of_an_earlier_measurement_are_checked() -> None:
    row = virtual(3, 0.0, 1, 1) | {"where": "virtual"}
    assert rows_of(json.dumps({"rows": [row]}), "a.json") == [row]
    for bad in ("", "[]", '{"rows": 3}', '{"rows": [{"where": "real"}]}', '{"rows": [7]}'):
        with pytest.raises(ValueError, match="^b.json: "):
            rows_of(bad, "b.json")


def test_a_client_uses_no_connection_of_which_it_was_told_that_it_ends() -> None:
    async def play(header: bytes) -> int:
        taken = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            taken.append(writer)  # kept open: only what the answer says tells that it ends
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + header + b"\r\n")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        caller = Caller([server.sockets[0].getsockname()[1]])
        for _ in range(3):
            assert (await caller.once(0, b"GET / HTTP/1.1\r\nHost: lab\r\n\r\n", 5.0))[0] == 200
        for connection in caller.all:
            assert connection.transport is not None
            connection.transport.abort()
        server.close()
        return len(taken)

    assert asyncio.run(play(b"")) == 1
    assert asyncio.run(play(b"Connection: close\r\n")) == 3
