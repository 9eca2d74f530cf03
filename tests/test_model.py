"""The model: nodes against plain arithmetic, reproducible runs, faults, and the planner."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pepperrun.__main__ import main
from pepperrun.capture.format import Capture, Class, Header, Plan, Worker, encode_capture
from pepperrun.model.day import Fault, parse_fault, requests_from_entries
from pepperrun.model.fleet import parse_fleet, resized
from pepperrun.model.load import LoadSpec, draw_load
from pepperrun.model.node import Admission, Node, NodeSpec
from pepperrun.model.service_level import RequestResult, inside_quota, service_level
from pepperrun.model.simulate import Simulation
from pepperrun.planner.fit import fit_capture
from pepperrun.planner.result import PlanResult

MS = 1_000_000
S = 1_000 * MS
FLEET = (Path(__file__).parent.parent / "examples/fleet.toml").read_text()
CLASSES = (Class("slot-search", 600, 2400, "safe", 1), Class("booking-confirm", 450, 1500, "keyed", 5))
PLANS = (Plan("essentiel", 1.7, 8, 0, 0, 1.2, 0, 1.0), Plan("reseau", 12, 20, 25, 40, 1.8, 0.1, 0))


def finish(node: Node, until: int) -> list[tuple[int, object]]:
    """Advances a node at its events up to a time; returns the completion time of each request."""
    done = []
    while (due := node.next_event_at()) is not None and due <= until:
        done += [(due, key) for key in node.advance(due)]
    return done + [(until, key) for key in node.advance(until)]


def test_cores_are_shared_evenly():
    node = Node(NodeSpec(cores=2, slots=10), 1.0, 0)
    for key, work in (("a", 10 * MS), ("b", 10 * MS), ("c", 10 * MS), ("d", 20 * MS)):
        assert node.arrive(0, key, work) is Admission.RUNNING
    # Four requests on two cores run at half speed; from 20 ms on the last one runs alone at full speed.
    assert [(round(at / MS), key) for at, key in finish(node, S)] == [
        (20, "a"),
        (20, "b"),
        (20, "c"),
        (30, "d"),
    ]
    assert round(node.busy_ns / MS) == 50


def test_warm_up_slots_queue_and_cancellation_of_a_new_node():
    spec = NodeSpec(cores=1, slots=1, queue=1, warmup_min_speed=0.5, warmup_ns=S)
    node = Node(spec, 1.0, 0, warm=False)
    assert [node.arrive(0, key, 100 * MS) for key in "abc"] == [
        Admission.RUNNING,
        Admission.QUEUED,
        Admission.REJECTED,
    ]
    # A cancelled request continues if it runs, and is dropped if it is queued.
    assert not node.cancel(0, "a") and node.cancel(0, "b")
    assert node.arrive(0, "d", 100 * MS) is Admission.QUEUED
    ((first, _), (second, _)) = finish(node, S)
    assert 150 * MS < first < 200 * MS and 100 * MS < second - first < first
    cancelling = Node(NodeSpec(cores=1, slots=1, queue=1, cancel_running=True), 1.0, 0)
    cancelling.arrive(0, "a", 100 * MS), cancelling.arrive(0, "b", 10 * MS)
    assert cancelling.cancel(0, "a") and finish(cancelling, S) == [(10 * MS + 1, "b")]


def test_warm_up_by_work_is_at_least_as_fast_as_by_time():
    spec = NodeSpec(cores=1, slots=1, queue=9, warmup_min_speed=0.5, warmup_ns=10 * S, warmup_work_ns=S)
    idle, busy = Node(spec, 1.0, 0, warm=False), Node(spec, 1.0, 0, warm=False)
    for key in range(8):
        busy.arrive(0, key, 250 * MS)
    finish(busy, 2 * S), finish(idle, 2 * S)
    assert idle.speed_fraction(2 * S) == pytest.approx(0.6) and busy.speed_fraction(2 * S) == 1.0
    # Half of the work gives half of the warm-up; steps of 100 ms make it slightly late.
    half = Node(spec, 1.0, 0, warm=False)
    half.arrive(0, "a", 500 * MS)
    assert finish(half, 2 * S)[0][0] < S and half.speed_fraction(S) == pytest.approx(0.75, abs=0.01)
    assert half.speed_fraction(10 * S) == 1.0


@given(
    st.lists(st.tuples(st.integers(0, 50), st.integers(1, 80)), min_size=1, max_size=25), st.integers(1, 4)
)
def test_a_node_completes_each_admitted_request_once(arrivals, cores):
    node, now, admitted, done = Node(NodeSpec(cores=cores, slots=5, queue=6), 1.0, 0), 0, 0, []
    for number, (gap, work) in enumerate(arrivals):
        done += [key for _, key in finish(node, now + gap * MS)]
        now += gap * MS
        if node.arrive(now, number, work * MS) is not Admission.REJECTED:
            admitted += 1
    done += [key for _, key in finish(node, now + 10 * S)]
    assert len(done) == len(set(done)) == admitted and node.pending() == 0
    assert node.busy_ns <= cores * (now + 10 * S)


def test_service_level_counts_value_in_time_inside_the_quotas():
    plans = (Plan("p", 1.0, 2.0, 0, 0, 1.0, 0.0, 0.0),)
    results = [RequestResult(at * S // 2, 0, 0, 1, 1.0, 100 * MS) for at in range(20)]
    admitted = inside_quota(results, plans)
    assert admitted[:2] == [True, True] and sum(admitted) == 2 + 9  # the burst, then one per second
    late = [RequestResult(one.sent_at, 0, 0, one.customer, 1.0, 700 * MS) for one in results]
    assert (
        service_level(results, CLASSES, plans).combined == 1.0
        and service_level(late, CLASSES, plans).combined == 0.0
    )
    half = [
        RequestResult(one.sent_at, 0, 0, number, 1.0, None if number % 2 else MS)
        for number, one in enumerate(results)
    ]
    assert service_level(half, CLASSES, plans).overall == 0.5


def entries(seconds: float = 4.0, inside: float = 60.0, seed: int = 1) -> list:
    return draw_load(LoadSpec(seconds, inside), CLASSES, (0.8, 0.2), PLANS, seed)


def simulate_day(faults: tuple[Fault, ...] = (), nodes: int = 4, inside: float = 60.0, seed: int = 1):
    fleet = resized(parse_fleet(FLEET), nodes)
    load = requests_from_entries(entries(inside=inside), CLASSES, fleet, seed)
    return Simulation(load, CLASSES, PLANS, fleet, seed, faults).run()


def test_a_seed_determines_the_result_of_a_day():
    one, two, other = simulate_day(), simulate_day(), simulate_day(seed=2)
    assert [(r.end, r.latency_ns) for r in one.requests] == [(r.end, r.latency_ns) for r in two.requests]
    assert [r.latency_ns for r in one.requests] != [r.latency_ns for r in other.requests]
    assert all(r.end for r in one.requests) and one.service_level.combined > 0.8


def test_faults_and_too_few_nodes_lower_the_service_level_and_each_request_ends():
    seeds = (1, 2, 3)  # one day of four seconds varies too much
    without_faults = sum(simulate_day(seed=seed).service_level.combined for seed in seeds) / len(seeds)
    for faults in (
        (Fault("lost", 1.0, 0.0, "a"),),
        (Fault("restart", 1.0),),
        (Fault("drain", 1.0, 0.0, "", 0.5), Fault("lost", 2.0, 1.0, "b", 0.5)),
    ):
        with_faults = [simulate_day(faults, seed=seed) for seed in seeds]
        assert sum(one.service_level.combined for one in with_faults) / len(seeds) < without_faults + 0.02
        assert all(request.end for one in with_faults for request in one.requests)
    assert simulate_day(nodes=1, inside=200.0).service_level.combined < without_faults - 0.2


@pytest.mark.parametrize("text", ["gone:1", "lost", "lost:x", "lost:1:2:a:7", "restart:-1", "drain:nan"])
def test_an_invalid_fault_is_rejected(text):
    with pytest.raises(ValueError, match="--fault"):
        parse_fault(text)


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("cores = 4", "cores = -4", "cores"),
        ("cores = 4", "cores = nan", "kind.std-4c|cores"),
        ("slots = 12", "slot = 12", "slot"),
        ("count = 4", "count = 0", "nodes"),
        ('kind = "std-4c"\ncount', 'kind = "nosuch"\ncount', "nosuch"),
        ("cold_from = 0.35", "cold_from = 0", "cold_from"),
        ("retries = 1", 'retries = "1"', "retries"),
        ('cancel = "queued"', 'cancel = "queued"\nwarm_by = "work"', "kind.std-4c.cold_work_s"),
        ("cold_s = 8", 'cold_s = 0\nwarm_by = "work"\ncold_work_s = 3', "kind.std-4c.cold_work_s"),
        ("cold_s = 8", 'cold_s = 8\nwarm_by = "luck"', "warm_by"),
        ("[network]", "[network", "TOML"),
    ],
)
def test_an_invalid_fleet_is_rejected_with_its_key(old, new, key):
    with pytest.raises(ValueError, match=key):
        parse_fleet(FLEET.replace(old, new))


def captured(tmp_path: Path, seconds: float = 3.0, inside: float = 40.0) -> Path:
    header = Header(1, "n0", 0, 2, 0, "id", CLASSES, PLANS)
    capture = Capture(header)
    capture.entries = entries(seconds, inside)
    path = tmp_path / "day.prcap"
    path.write_bytes(encode_capture(capture))
    return path


def test_plan_nodes_reports_results_and_names_invalid_input(tmp_path, capsys):
    path, fleet = captured(tmp_path), tmp_path / "fleet.toml"
    fleet.write_text(FLEET)
    out = tmp_path / "out.json"
    arguments = ["plan", "nodes", str(path), "--fleet", str(fleet), "--seeds", "2", "--jobs", "2"]
    code = main(
        [*arguments, "--goal", "0.5", "--most", "6", "--json", str(out), "--plot", str(tmp_path / "p.svg")]
    )
    found = json.loads(out.read_text())
    assert code == 0 and "fewest nodes for 0.5" in capsys.readouterr().out
    assert 1 <= found["fewest"]["nodes"] <= 6
    assert {"zone a lost", "zone b lost", "all restarted cold"} <= set(found["losses"]["losses"])
    typed = msgspec.convert(found, PlanResult)  # matches the schema that `plan schema` prints
    assert typed.today.times_ms["slot-search"].p50 > 0
    assert main(["plan", "schema"]) == 0 and "PlanResult" in capsys.readouterr().out
    assert len(found["breaks"]["steps"]) == 6 and "work +10%" in found["sensitivity"]
    capsys.readouterr()
    fleet.write_text(FLEET.replace("[work.booking-confirm]", "[work.other]"))
    assert main(arguments) == 2
    assert "work.booking-confirm" in capsys.readouterr().err
    assert main(["plan", "fit", str(path)]) == 2  # the capture has no attempts


def test_fit_estimates_the_work_and_speeds_of_the_nodes():
    import numpy

    random = numpy.random.default_rng(1)
    capture = Capture(Header(1, "n0", 0, 1, 0, "id", CLASSES, PLANS))
    true_speeds = [0.8, 1.0, 1.25]
    capture.workers = {number: Worker(number, f"w{number}", "a") for number in range(3)}
    from pepperrun.capture.format import Attempt, Entry

    for number in range(3000):
        worker, units = number % 3, 1.0 + number % 4
        work = random.lognormal(0, 0.5) * 80 * units**0.5 / true_speeds[worker]
        attempt = Attempt(worker, "ok", 200, 200 + int(1000 * (work + 0.4)))
        capture.entries.append(
            Entry(number * 400_000, 0, 0, 1, units, units, 0, "served", 0, 1, 0, (attempt,))
        )
    found = fit_capture(capture)
    work = found["work"]["slot-search"]
    true_mean = 80 * float(numpy.exp(0.125)) / 1.0
    assert work["mean_ms"]["low"] * 0.95 <= true_mean <= work["mean_ms"]["high"] * 1.05
    assert abs(work["by_units"] - 0.5) < 0.05 and abs(work["cv"]["value"] - 0.533) < 0.05
    ratios = [found["speeds"][f"w{number}"] / speed for number, speed in enumerate(true_speeds)]
    assert max(ratios) / min(ratios) < 1.06
