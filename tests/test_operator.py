"""Operators' tools: calls to a clear answer, checks of files, and a small system of real processes."""

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
from pepperrun.operator.core_client import CoreClient
from pepperrun.operator.local_cluster import LocalCluster, Sizes


@contextmanager
def core(*answers: tuple[int, dict[str, Any], str]) -> Iterator[tuple[tuple[str, int], list[Any]]]:
    """A machine that gives these answers in turn, the last one for ever; what it was asked."""
    asked: list[Any] = []

    class Handler(BaseHTTPRequestHandler):
        def answer(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            asked.append((self.command, self.path, self.headers.get("Based-On"), body))
            status, told, location = answers[min(len(asked), len(answers)) - 1]
            data = json.dumps(told).encode()
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
        yield ("127.0.0.1", server.server_port), asked
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def caller(*at: tuple[str, int]) -> CoreClient:
    """Pauses cost no time."""
    now = [0.0]

    def sleep(seconds: float) -> None:
        now[0] += seconds

    return CoreClient(list(at), 5, lambda: now[0], sleep)


def test_a_call_goes_on_and_is_repeated_unchanged_until_it_is_clear():
    busy, full, good = (503, {}, ""), (429, {}, ""), (200, {"detail": "taken"}, "")
    with core(busy, full, good) as (one, asked), core(busy) as (two, others):
        told = caller(("127.0.0.1", 1), two, one).call("POST", "/x", b"{}", {"Based-On": "5"})
    assert told.status == 200 and len(asked) == 3 and len(others) == 3
    assert set(asked + others) == {("POST", "/x", "5", b"{}")}
    with core((412, {}, ""), good) as (one, asked):
        assert caller(one).call("POST", "/x").status == 412 and len(asked) == 1
    with core(busy) as (one, _), pytest.raises(PepperrunError, match="nothing is certain") as error:
        caller(one).call("POST", "/x")
    assert error.value.code == "no-answer"


def test_redirects_are_followed_twice():
    with core((200, {"detail": "here"}, "")) as (last, asked):
        on = f"http://127.0.0.1:{last[1]}/y"
        with core((307, {}, on)) as (two, _), core((307, {}, f"http://127.0.0.1:{two[1]}/x")) as (one, _):
            assert caller(one).call("POST", "/x", b"b").status == 200
            assert asked == [("POST", "/y", None, b"b")]
    with core((307, {}, "")) as (one, hops), pytest.raises(PepperrunError):
        caller(one).call("GET", "/x")
    assert hops


def test_a_change_names_what_was_read(capsys, tmp_path):
    file = tmp_path / "change.yaml"
    file.write_text("edition: 9\nwithdraw: {routes: [r-old]}\n")
    with core((200, {"edition": 7}, ""), (200, {"detail": "Edition 9 is taken."}, "")) as (one, asked):
        assert operatorctl.main(["amend", str(file), "--at", f"{one[0]}:{one[1]}"]) == 0
    assert asked[1][:3] == ("POST", "/timetable/amend", "7")
    assert json.loads(asked[1][3]) == {"edition": 9, "withdraw": {"routes": ["r-old"]}}
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


def test_each_problem_of_settings_has_its_sentence(tmp_path, capsys):
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


def test_a_small_system_of_real_processes_serves_and_shows(tmp_path):
    local_cluster = LocalCluster(Sizes(1, 1, 1, ("search",)), tmp_path)
    try:
        local_cluster.start()  # each gatekeeper has answered 200 on each route
        internal_port = local_cluster.ports["siding"]
        core, gateway = (
            asyncio.run(inspection.query_process((ip, internal_port)))
            for ip in (local_cluster.cores[0], local_cluster.gateways[0])
        )
        assert (core["class"], core["edition"], core["majority"]) == ("sorting", 1, True)
        assert (
            core["voters"] == [[local_cluster.cores[0], "first"]] and core["keeper"] == local_cluster.cores[0]
        )
        assert core["cells"]["north-a"]["workers"] == {"search": {"boarding": 1}}
        assert (gateway["class"], gateway["edition"], gateway["root"]) == ("counter", 1, True)
        assert gateway["answers"]["served"] >= 1 and gateway["core"]["linked"]
        assert [one["tenant"] for one in gateway["shares"]] == ["newcomer"]
        for shown in (core, gateway):
            assert local_cluster.key not in json.dumps(shown) and shown["station"] in inspection.format_reply(
                shown
            )
    finally:
        local_cluster.shut_down()
    codes = {one.role: one.process.returncode for one in local_cluster.children if one.process is not None}
    assert codes == {"control_node": 0, "gateway_node": 0, "worker": 0}
