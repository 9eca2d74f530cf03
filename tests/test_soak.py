"""Soak runs: the rules checked on made-up records, and a short run of the real programs."""

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
    """Returns a request to g1 with a deadline of 12 s, answered by its gateway."""
    one = SentRequest(
        "q1", "g1", True, int(at * SECOND), int((at + 12) * SECOND), int(ended * SECOND), status
    )
    for name, value in more.items():
        setattr(one, name, value)
    return one


def run(began: float = 0.01, ended: float = 2.0, end: RunEnd = RunEnd.CUT, worker: str = "w1") -> Run:
    return Run("q1", worker, int(began * SECOND), int(ended * SECOND), end)


STOP = Stop("g1", SECOND)  # one second after the request


@pytest.mark.parametrize(
    ("one", "runs", "rules"),
    [
        (sent(), [run()], ["LOST"]),  # the incident: a 503 although a run was cut
        (sent(status=0), [run()], ["LOST"]),  # the connection ends without an answer
        (sent(status=0), [], []),  # crossed the close on the wire and was not forwarded
        (sent(status=200, is_from_worker=True), [run(end=RunEnd.ANSWERED)], []),
        (sent(status=503), [run(end=RunEnd.ANSWERED)], []),  # the run had ended: nothing was cut
        (sent(ended=6.5, status=504), [run(ended=6.5)], []),  # in the last sixth of the grace period
        # Sent in the second half of the grace period, so its end does not excuse the loss.
        (sent(at=4.5, ended=6.5, status=504), [run(began=4.6, ended=6.5)], ["LOST"]),
        (sent(ended=11.99, status=504), [run(ended=12.0)], []),  # its deadline had passed
        # Answered by the next process at the address.
        (sent(ended=11.5, status=504), [run(ended=11.5)], ["LOST"]),
        (sent(ended=12.0, status=504, is_safe=False), [run(), run(1.0, worker="w2")], ["TWICE"]),
        (sent(is_safe=False), [run()], ["REFUSED"]),
        (sent(status=200, is_from_worker=True, problem="of another"), [run()], ["MIXED"]),
    ],
)
def test_judge_reports_requests_that_a_stop_must_not_cut(one, runs, rules):
    assert [found.rule for found in judge([one], runs, [STOP], GRACE)] == rules


def disconnected(number: int, is_safe: bool = True) -> SentRequest:
    """Returns a request whose client disconnected one second after it was sent."""
    return SentRequest(
        f"q{number}", "g1", is_safe, 0, 12 * SECOND, SECOND, disconnected_ns=SECOND, disconnect_kind="close"
    )


def run_of(
    number: int, ended: float, end: RunEnd = RunEnd.CUT, takes: float = 5.0, began: float = 0.1
) -> Run:
    return Run(f"q{number}", "w1", int(began * SECOND), int(ended * SECOND), end, int(takes * SECOND))


@pytest.mark.parametrize(
    ("runs", "found"),
    [
        ([run_of(one, 1.2) for one in range(8)], 0),
        ([run_of(one, 5.0, RunEnd.ANSWERED) for one in range(8)], 8),  # the incident
        # Three are tolerated.
        ([run_of(one, 5.0) for one in range(3)] + [run_of(one, 1.2) for one in range(3, 8)], 0),
        ([run_of(one, 5.0) for one in range(4)] + [run_of(one, 1.2) for one in range(4, 8)], 4),
        # The work ends by itself before the limit.
        ([run_of(one, 1.4, RunEnd.ANSWERED, takes=1.3) for one in range(8)], 0),
        ([run_of(one, 1.8, began=1.6) for one in range(8)], 8),  # started after the client had disconnected
    ],
)
def test_judge_reports_work_that_continues_after_its_client_disconnected(runs, found):
    broken = judge([disconnected(number) for number in range(8)], runs, [], GRACE)
    assert [one.rule for one in broken] == ["GONE"] * found


def test_unsafe_work_outlives_its_client_and_may_be_cut_only_by_the_end_of_a_grace_period():
    cut, stop = run_of(0, 7.5), Stop("g1", 2 * SECOND, 8 * SECOND)
    assert [one.rule for one in judge([disconnected(0, False)], [cut], [], GRACE)] == ["CUT"]
    assert judge([disconnected(0, False)], [cut], [stop], GRACE) == []
    assert judge([disconnected(0, False)], [run_of(0, 5.0, RunEnd.ANSWERED)], [], GRACE) == []


def test_judge_reports_a_run_that_no_client_sent():
    (found,) = judge([], [run()], [], GRACE)
    assert found.rule == "UNASKED" and "w1" in found.text


def test_a_record_with_a_truncated_last_line_is_read(tmp_path):
    file = tmp_path / "w1.jsonl"
    ended = {"id": "a", "worker": "w1", "began": 1, "ended": 2, "end": "cut"}
    begun = [{"id": "a", "worker": "w1", "began": 1}, {"id": "b", "worker": "w1", "began": 3}]
    file.write_text("\n".join([*map(json.dumps, begun), json.dumps(ended), '{"id": "c", "wo']))
    assert read_runs([file]) == [Run("a", "w1", 1, 2, RunEnd.CUT), Run("b", "w1", 3, 0, RunEnd.WORKING)]


def test_a_toy_worker_starts_no_request_whose_client_disconnected_while_waiting_for_a_slot():
    """Found by soak seed 135: the run started on a closed connection, long after its client disconnected."""

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


def test_a_short_soak_of_planned_work_violates_no_rule(tmp_path, capsys):
    """Real processes: gateways restart, settings reload and time-outs change while clients send requests."""
    words = ["soak", "--seed", "5", "--seconds", "12", "--gateways", "3", "--workers", "2", "--clients", "12"]
    code = operatorctl.main([*words, "--keep", str(tmp_path)])
    report = json.loads((tmp_path / "report.json").read_text())
    assert (code, report["findings"]) == (0, []), capsys.readouterr().out
    assert report["planned"]["SIGTERM"] >= 2 and report["by_status"]["200"] > 50
    assert sum(report["left"].values()) > 5
