"""The second address: calls, figures and connections that say nothing."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import tomllib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from standins import HOST, Client, StandIn, going, line, ok
from test_main import ROOT, built, config, start

from pepperrun.admin.commands import MAX_LINE_BYTES, CommandHandler, Metric, parse_command
from pepperrun.admin.server import MAX_CONNECTIONS, AdminServer
from pepperrun.config import read_config

__all__ = ["built"]  # the fixture that runs the deploy file's build

FIGURES = [Metric("fulfilled.search", 812, True), Metric("open_requests", 14, False)]


def calls(ready: bool = True) -> CommandHandler:
    return CommandHandler(lambda: ready, lambda: FIGURES)


async def opened(calls: CommandHandler) -> AdminServer:
    server = AdminServer(asyncio.get_running_loop(), calls)
    await server.open((HOST, 0))
    return server


async def call(port: int, text: bytes) -> bytes:
    """All that is answered until the connection ends."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(text)
    answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize(
    ("line", "answer"),
    [
        (b"readyz", b"done\n"),
        (b" readyz \r", b"done\n"),
        (b"telemetry", b"node.fulfilled.search:812|c\nnode.open_requests:14|g\nend\n"),
    ],
)
def test_calls_that_are_known_are_answered(line, answer):
    assert calls().answer(line) == answer


@given(st.binary(max_size=300))
def test_any_other_line_gets_one_line_that_begins_with_error(line):
    if line.strip(b" \t\r") in (b"readyz", b"telemetry"):
        return
    answer = calls().answer(line)
    assert answer.startswith(b"error") and answer.endswith(b"\n") and answer.count(b"\n") == 1


def test_a_process_that_takes_no_clients_says_so():
    assert calls(ready=False).answer(b"readyz").startswith(b"error")


@given(st.binary(max_size=3 * MAX_LINE_BYTES))
def test_a_line_is_given_once_it_has_ended_and_a_long_one_never(data):
    try:
        line = parse_command(data)
    except ValueError:
        assert len(data.split(b"\n")[0]) > MAX_LINE_BYTES
    else:
        assert (line is None) == (b"\n" not in data)
        assert line is None or data.startswith(line + b"\n")


@pytest.mark.parametrize("text", [b"reboot\n", b"\n", b"\xff\x00\n", b"x" * 5000, b"readyz\x00\n"])
def test_what_is_no_call_is_told_over_the_socket(text):
    async def test():
        server = await opened(calls())
        assert (await call(server.address[1], text)).startswith(b"error")
        server.close()

    going(test)


def test_half_a_call_that_ends_is_none():
    async def test():
        server = await opened(calls())
        reader, writer = await asyncio.open_connection(HOST, server.address[1])
        writer.write(b"ready")
        writer.write_eof()
        assert (await reader.read()).startswith(b"error")
        writer.close()
        server.close()

    going(test)


def test_silent_callers_keep_nobody_out():
    # Without the bound each would hold a descriptor for as long as it likes.
    async def test():
        server = await opened(calls())
        port = server.address[1]
        silent = [await asyncio.open_connection(HOST, port) for _ in range(3 * MAX_CONNECTIONS)]
        assert await call(port, b"readyz\n") == b"done\n"
        assert len(server.connections) <= MAX_CONNECTIONS
        assert await silent[0][0].read() == b""  # the oldest has given way
        server.close()
        for _, writer in silent:
            writer.close()

    going(test)


def test_a_figure_that_fails_is_the_callers_trouble_alone():
    async def test():
        server = await opened(CommandHandler(lambda: True, lambda: [][0]))
        assert (await call(server.address[1], b"telemetry\n")).startswith(b"error")
        assert await call(server.address[1], b"readyz\n") == b"done\n"
        server.close()

    going(test)


def test_the_programs_figures_are_its_clients_own(tmp_path):
    # Served, failed and refused as the client saw them, and attempts as the workers did.
    async def test():
        worker = await StandIn(ok(b"answer")).start()
        bad = await StandIn(lambda request: b"HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n").start()
        known = {"version": 3, "full": True, "servers": [line("w", worker.port), line("v", bad.port)]}
        seen: dict[int, int] = {}
        process, port = await start(tmp_path / "c.json", known=known, admin=f"{HOST}:0")
        while "accepting operator commands at" not in (text := (await process.stderr.readline()).decode()):
            pass
        admin = int(text.rsplit(":", 1)[1])
        assert await call(admin, b"readyz\n") == b"done\n"
        client = await Client.to(port)
        for _ in range(60):
            client.ask()
            status = (await client.answer())[0]
            seen[status] = seen.get(status, 0) + 1
        told = dict(
            entry.split("|")[0].removeprefix("node.").split(":")
            for entry in (await call(admin, b"telemetry\n")).decode().split()
            if entry != "end"
        )
        assert int(told["fulfilled.search"]) == seen[200]
        assert int(told["throttled.search"]) == seen.get(429, 0)
        assert int(told["faulted.search"]) == seen.get(502, 0) + seen.get(504, 0)
        assert int(told["relayed"]) == worker.arrived.qsize() + bad.arrived.qsize()
        assert (told["registry_entries"], told["open_requests"]) == ("2", "0")
        process.terminate()
        assert await process.wait() == 0

    going(test)


def test_scrapes_are_answered_while_clients_load_it_and_silent_callers_stay(tmp_path):
    # Each answer is due within a second; figures only grow, and are the clients' own in the end.
    async def test():
        worker = await StandIn(ok(b"answer")).start()
        known = {"version": 3, "full": True, "servers": [line("w", worker.port)]}
        process, port = await start(tmp_path / "c.json", known=known, admin=f"{HOST}:0")
        while "accepting operator commands at" not in (text := (await process.stderr.readline()).decode()):
            pass
        admin, stop, seen = int(text.rsplit(":", 1)[1]), asyncio.Event(), {200: 0, 429: 0, 502: 0, 504: 0}
        silent = [await asyncio.open_connection(HOST, admin) for _ in range(MAX_CONNECTIONS)]
        for _, writer in silent[::2]:
            writer.write(b"tele")  # half a call

        async def client() -> None:
            link = await Client.to(port)
            while not stop.is_set():
                link.ask()
                seen[(await link.answer())[0]] += 1

        def told(answer: bytes) -> dict[str, int]:
            assert answer.endswith(b"\nend\n")
            lines = [
                one.split("|")[0].removeprefix("node.").split(":") for one in answer.decode().split()[:-1]
            ]
            return {name: int(value) for name, value in lines}

        clients = [asyncio.create_task(client()) for _ in range(8)]
        last: dict[str, int] = {}
        for _ in range(20):
            figures = told(await asyncio.wait_for(call(admin, b"telemetry\n"), 5))
            assert all(figures[name] >= last.get(name, 0) for name in figures if "." in name)
            assert figures["open_requests"] <= 8
            last = figures
            await asyncio.sleep(0.02)
        stop.set()
        await asyncio.gather(*clients)
        figures = told(await call(admin, b"telemetry\n"))
        assert figures["fulfilled.search"] == seen[200] > 0
        assert figures["throttled.search"] == seen[429]
        assert figures["relayed"] == worker.arrived.qsize()
        for _, writer in silent:
            writer.close()
        process.terminate()
        assert await process.wait() == 0

    going(test)


@pytest.mark.parametrize("admin", ["nowhere", f"{HOST}:99999"])
def test_an_address_that_is_none_is_told_with_its_key(admin):
    with pytest.raises(ValueError, match="admin"):
        read_config(json.dumps(config(admin=admin)), {})
    with pytest.raises(ValueError, match="admin"):
        read_config(json.dumps(config()), {"NODE_ADMIN": admin})


def test_an_address_in_use_ends_the_start_with_a_line(tmp_path):
    async def test():
        server = await opened(calls())
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        path = tmp_path / "c.json"
        path.write_text(json.dumps(config(admin=f"{HOST}:{server.address[1]}")))
        process = await asyncio.create_subprocess_exec(
            *("/bin/sh", "-c", run),
            cwd=ROOT,
            env=os.environ | {"NODE_CONFIG": str(path)},
            stderr=subprocess.PIPE,
        )
        _, said = await process.communicate()
        assert process.returncode == 2 and said.decode().splitlines()[-1].startswith("pepperrun: admin:")
        server.close()

    going(test)
