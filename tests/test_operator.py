"""Operators' tools: calls until a final response, checks of files, and a local cluster of processes."""

from __future__ import annotations

import asyncio
import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import pytest
import yaml

from pepperrun import operatorctl
from pepperrun.foundation.errors import PepperrunError
from pepperrun.operator import inspection, problems
from pepperrun.operator.control_client import ControlClient
from pepperrun.operator.local_cluster import LocalCluster, Sizes


@contextmanager
def core(*answers: tuple[int, dict[str, Any], str]) -> Iterator[tuple[tuple[str, int], list[Any]]]:
    """Serves these answers in turn, then always the last one. Yields the address and the list of requests."""
    requests: list[Any] = []

    class Handler(BaseHTTPRequestHandler):
        def answer(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            requests.append((self.command, self.path, self.headers.get("Based-On"), body))
            status, content, location = answers[min(len(requests), len(answers)) - 1]
            data = json.dumps(content).encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            if location:
                self.send_header("Location", location)
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = answer  # noqa: N815

        def log_message(self, *args: Any) -> None:
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield ("127.0.0.1", server.server_port), requests
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def client(*addresses: tuple[str, int]) -> ControlClient:
    """Returns a client whose pauses take no real time."""
    now = [0.0]

    def sleep(seconds: float) -> None:
        now[0] += seconds

    return ControlClient(list(addresses), 5, lambda: now[0], sleep)


def test_a_call_is_repeated_unchanged_until_a_final_response():
    busy, full, good = (503, {}, ""), (429, {}, ""), (200, {"detail": "taken"}, "")
    with core(busy, full, good) as (one, requests), core(busy) as (two, other_requests):
        response = client(("127.0.0.1", 1), two, one).call("POST", "/x", b"{}", {"Based-On": "5"})
    assert response.status == 200 and len(requests) == 3 and len(other_requests) == 3
    assert set(requests + other_requests) == {("POST", "/x", "5", b"{}")}
    with core((412, {}, ""), good) as (one, requests):
        assert client(one).call("POST", "/x").status == 412 and len(requests) == 1
    with core(busy) as (one, _), pytest.raises(PepperrunError, match="nothing is certain") as error:
        client(one).call("POST", "/x")
    assert error.value.code == "no-answer"


def test_no_address_is_tried_after_the_deadline_however_many_there_are(monkeypatch):
    # Guards against a command that goes on for a time-out of each address after its own deadline.
    now = [0.0]

    def time_out(self: ControlClient, address: tuple[str, int], *call: Any) -> None:
        now[0] += 1.5
        raise TimeoutError

    monkeypatch.setattr(ControlClient, "_call_with_redirects", time_out)
    addresses = [("127.0.0.1", port) for port in range(1, 31)]
    tool = ControlClient(addresses, 5, lambda: now[0], lambda seconds: None)
    with pytest.raises(PepperrunError, match="nothing is certain"):
        tool.call("GET", "/x")
    assert now[0] <= 5 + 1.5
    impatient = ControlClient(addresses, 0, lambda: now[0], lambda seconds: None)
    with pytest.raises(PepperrunError, match="TimeoutError"):  # one address is tried all the same
        impatient.call("GET", "/x")


def test_redirects_are_followed_twice():
    with core((200, {"detail": "here"}, "")) as (last, requests):
        redirect = f"http://127.0.0.1:{last[1]}/y"
        with (
            core((307, {}, redirect)) as (two, _),
            core((307, {}, f"http://127.0.0.1:{two[1]}/x")) as (one, _),
        ):
            assert client(one).call("POST", "/x", b"b").status == 200
            assert requests == [("POST", "/y", None, b"b")]
    with core((307, {}, "")) as (one, requests), pytest.raises(PepperrunError):
        client(one).call("GET", "/x")
    assert requests


def test_a_change_is_based_on_the_edition_that_was_read(capsys, tmp_path):
    file = tmp_path / "change.yaml"
    file.write_text("edition: 9\nwithdraw: {routes: [r-old]}\n")
    with core((200, {"edition": 7}, ""), (200, {"detail": "Edition 9 is taken."}, "")) as (one, requests):
        assert operatorctl.main(["amend", str(file), "--at", f"{one[0]}:{one[1]}"]) == 0
    assert requests[1][:3] == ("POST", "/timetable/amend", "7")
    assert json.loads(requests[1][3]) == {"edition": 9, "withdraw": {"routes": ["r-old"]}}
    assert "Edition 9 is taken." in capsys.readouterr().out
    with core((400, {"code": "bare-prefix", "detail": "Route r is bad."}, "")) as (one, _):
        assert operatorctl.main(["put", str(file), "--based-on", "7", "--at", f"{one[0]}:{one[1]}"]) == 1
    assert "400 Route r is bad." in capsys.readouterr().err
    at = ["--at", "127.0.0.1:1", "--patience", "0"]
    assert operatorctl.main(["evacuate", "a", *at]) == 3
    assert operatorctl.main(["put", str(tmp_path / "none"), *at]) == 2


def settings() -> dict[str, Any]:
    me = {"station": "s", "role": "control_node", "ip": "10.0.0.1", "zone": "a", "region": "r"}
    network = {"sidings": [7600, 7615], "first_contacts": ["10.0.0.1:80"], "zones": {"a": "r"}}
    network["postboxes"] = {"control_port": "10.0.0.1:80"}
    return {"self": me | {"store_dir": "/disk"}, "network": network, "tariffs": {"bounds": {"grace_s": 6}}}


def test_each_settings_problem_is_reported_in_one_sentence(tmp_path, capsys):
    good, bad = settings(), settings()
    assert problems.settings_problems(good) == []
    bad["self"] |= {"zone": "b", "ip": "10.0.0.2", "store_dir": None}
    bad["network"]["postboxes"]["directory_port"] = "10.0.0.2:80"
    bad["tariffs"]["bounds"]["grace_s"] = -1
    found = problems.settings_problems(bad)
    for name, sentence in zip(
        ("self.zone", "self.store_dir", "postboxes.control_port", "postboxes.directory_port", "grace_s"),
        found,
        strict=True,
    ):
        assert name in sentence and sentence.endswith(".")
    del bad["self"]["station"]
    assert len(problems.settings_problems(bad)) == 1 and "station" in problems.settings_problems(bad)[0]
    files = []
    for name, data in (("good.yaml", good), ("bad.yaml", bad)):
        files.append(tmp_path / name)
        files[-1].write_text(yaml.safe_dump(data))
    assert [operatorctl.main(["check", "settings", str(file)]) for file in files] == [0, 1]
    files[0].write_text("self: [")
    assert operatorctl.main(["check", "settings", *map(str, files)]) == 2
    assert "good.yaml, line 1" in capsys.readouterr().err


def test_a_local_cluster_serves_requests_and_reports_its_state(tmp_path):
    cluster = LocalCluster(Sizes(1, 1, 1, ("search",)), tmp_path)
    try:
        cluster.start()  # returns after each gatekeeper has answered 200 on each route
        internal_port = cluster.ports["siding"]
        core_state, gateway_state = (
            asyncio.run(inspection.query_process((ip, internal_port)))
            for ip in (cluster.control_nodes[0], cluster.gateways[0])
        )
        assert (core_state["class"], core_state["edition"], core_state["majority"]) == ("sorting", 1, True)
        assert (
            core_state["voters"] == [[cluster.control_nodes[0], "first"]]
            and core_state["keeper"] == cluster.control_nodes[0]
        )
        assert core_state["cells"]["north-a"]["workers"] == {"search": {"boarding": 1}}
        assert (gateway_state["class"], gateway_state["edition"], gateway_state["root"]) == (
            "counter",
            1,
            True,
        )
        assert gateway_state["answers"]["served"] >= 1 and gateway_state["core"]["linked"]
        assert [one["tenant"] for one in gateway_state["shares"]] == ["newcomer"]
        for shown in (core_state, gateway_state):
            assert cluster.key not in json.dumps(shown) and shown["station"] in inspection.format_reply(shown)
    finally:
        cluster.shut_down()
    codes = {child.role: child.process.returncode for child in cluster.children if child.process is not None}
    assert codes == {"control_node": 0, "gateway_node": 0, "worker": 0}
