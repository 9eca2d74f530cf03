"""Soak runs: the judges by made-up records, and a short run of the real programs."""

from __future__ import annotations

import asyncio
import io
import json

import pytest
from standins import HOST, Client, going

from pepperrun import operatorctl
from pepperrun.operator.toy_workers import Worker
from pepperrun.soak.judge import judge
from pepperrun.soak.records import Run, RunEnd, SentRequest, Stop, read_runs

SECOND = 1_000_000_000
GRACE = 6 * SECOND


def sent(at: float = 0.0, ended: float = 2.0, status: int = 503, **more: object) -> SentRequest:
    """A request to g1 with 12 s, answered by its gatekeeper."""
    one = SentRequest(
        "q1", "g1", True, int(at * SECOND), int((at + 12) * SECOND), int(ended * SECOND), status
    )
    for name, value in more.items():
        setattr(one, name, value)
    return one


def run(began: float = 0.01, ended: float = 2.0, end: RunEnd = RunEnd.CUT, worker: str = "w1") -> Run:
    return Run("q1", worker, int(began * SECOND), int(ended * SECOND), end)


STOP = Stop("g1", SECOND)  # a second after the request


@pytest.mark.parametrize(
    ("one", "runs", "rules"),
    [
        (sent(), [run()], ["LOST"]),  # the incident: 503 over a run that is cut
        (sent(status=0), [run()], ["LOST"]),  # the connection ends without an answer
        (sent(status=0), [], []),  # it crossed the closing, and was not passed on
        (sent(status=200, is_from_worker=True), [run(end=RunEnd.ANSWERED)], []),
        (sent(status=503), [run(end=RunEnd.ANSWERED)], []),  # the worker had ended: nothing was cut
        (sent(ended=6.5, status=504), [run(ended=6.5)], []),  # in the last sixth of the grace
        (sent(at=4.5, ended=6.5, status=504), [run(began=4.6, ended=6.5)], ["LOST"]),  # taken too late
        (sent(ended=11.99, status=504), [run(ended=12.0)], []),  # its time was over
        (sent(ended=11.5, status=504), [run(ended=11.5)], ["LOST"]),  # of the process that came after
        (sent(ended=12.0, status=504, is_safe=False), [run(), run(1.0, worker="w2")], ["TWICE"]),
        (sent(is_safe=False), [run()], ["REFUSED"]),
        (sent(status=200, is_from_worker=True, problem="of another"), [run()], ["MIXED"]),
    ],
)
def test_the_judges_know_what_a_stop_may_cut_and_what_not(one, runs, rules):
    assert [found.rule for found in judge([one], runs, [STOP], GRACE)] == rules


def left(number: int, is_safe: bool = True) -> SentRequest:
    """A request whose client left a second after it asked."""
    return SentRequest(
        f"q{number}", "g1", is_safe, 0, 12 * SECOND, SECOND, disconnected_ns=SECOND, disconnect_kind="close"
    )


def worked(
    number: int, ended: float, end: RunEnd = RunEnd.CUT, takes: float = 5.0, began: float = 0.1
) -> Run:
    return Run(f"q{number}", "w1", int(began * SECOND), int(ended * SECOND), end, int(takes * SECOND))


@pytest.mark.parametrize(
    ("runs", "found"),
    [
        ([worked(one, 1.2) for one in range(8)], 0),
        ([worked(one, 5.0, RunEnd.ANSWERED) for one in range(8)], 8),  # the incident
        ([worked(one, 5.0) for one in range(3)] + [worked(one, 1.2) for one in range(3, 8)], 0),  # a few may
        ([worked(one, 5.0) for one in range(4)] + [worked(one, 1.2) for one in range(4, 8)], 4),
        ([worked(one, 1.4, RunEnd.ANSWERED, takes=1.3) for one in range(8)], 0),  # it would not have lasted
        ([worked(one, 1.8, began=1.6) for one in range(8)], 8),  # reached a worker after its client had left
    ],
)
def test_the_judge_knows_what_goes_on_without_its_client(runs, found):
    broken = judge([left(number) for number in range(8)], runs, [], GRACE)
    assert [one.rule for one in broken] == ["GONE"] * found


def test_what_may_not_be_repeated_goes_on_without_its_client_and_is_cut_by_the_end_of_a_grace_only():
    cut, stop = worked(0, 7.5), Stop("g1", 2 * SECOND, 8 * SECOND)
    assert [one.rule for one in judge([left(0, False)], [cut], [], GRACE)] == ["CUT"]
    assert judge([left(0, False)], [cut], [stop], GRACE) == []
    assert judge([left(0, False)], [worked(0, 5.0, RunEnd.ANSWERED)], [], GRACE) == []


def test_a_run_that_nobody_sent_is_found():
    (found,) = judge([], [run()], [], GRACE)
    assert found.rule == "UNASKED" and "w1" in found.text


def test_a_record_whose_last_line_is_cut_is_read(tmp_path):
    file = tmp_path / "w1.jsonl"
    ended = {"id": "a", "worker": "w1", "began": 1, "ended": 2, "end": "cut"}
    begun = [{"id": "a", "worker": "w1", "began": 1}, {"id": "b", "worker": "w1", "began": 3}]
    file.write_text("\n".join([*map(json.dumps, begun), json.dumps(ended), '{"id": "c", "wo']))
    assert read_runs([file]) == [Run("a", "w1", 1, 2, RunEnd.CUT), Run("b", "w1", 3, 0, RunEnd.WORKING)]


def test_a_toy_worker_begins_nothing_for_a_caller_who_left_while_it_waited_for_a_slot():
    """Found by seed 135 of the soak: begun long after its client had left, on a connection closed before."""

    async def test():
        record = io.StringIO()
        worker = Worker("history", "a", (HOST, 0), 1, [], work_ms=1e6, record=record)
        server = await asyncio.start_server(worker.serve, HOST, 0)
        clients = []
        for id in ("first", "second", "third"):
            client = await Client.to(server.sockets[0].getsockname()[1])
            client.writer.write(f"GET /history/x HTTP/1.1\r\nAttempt-Id: {id}\r\n\r\n".encode())
            clients.append(client)
            while id == "first" and not record.getvalue():
                await asyncio.sleep(0)
        clients[1].writer.close()
        clients[0].writer.close()
        while "third" not in record.getvalue():
            await asyncio.sleep(0)
        ids = [json.loads(line)["id"] for line in record.getvalue().splitlines()]
        assert ids == ["first", "first", "third"]
        clients[2].writer.close()
        server.close()

    going(test)


def test_a_short_soak_of_planned_work_breaks_no_rule(tmp_path, capsys):
    """Real processes: gatekeepers rolled, settings read again and time-outs changed while clients ask."""
    words = ["soak", "--seed", "5", "--seconds", "12", "--gateways", "3", "--workers", "2", "--clients", "12"]
    code = operatorctl.main([*words, "--keep", str(tmp_path)])
    report = json.loads((tmp_path / "report.json").read_text())
    assert (code, report["findings"]) == (0, []), capsys.readouterr().out
    assert report["planned"]["SIGTERM"] >= 2 and report["by_status"]["200"] > 50
    assert sum(report["left"].values()) > 5
