"""The admin address: commands, metrics and silent connections."""

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

METRICS = [Metric("fulfilled.search", 812, True), Metric("open_requests", 14, False)]


def command_handler(ready: bool = True) -> CommandHandler:
    return CommandHandler(lambda: ready, lambda: METRICS)


async def open_server(handler: CommandHandler) -> AdminServer:
    server = AdminServer(asyncio.get_running_loop(), handler)
    await server.open((HOST, 0))
    return server


async def send_command(port: int, text: bytes) -> bytes:
    """Sends a text; returns everything received until the connection ends."""
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
def test_known_commands_are_answered(line, answer):
    assert command_handler().answer(line) == answer


@given(st.binary(max_size=300))
def test_any_other_line_gets_a_one_line_error(line):
    if line.strip(b" \t\r") in (b"readyz", b"telemetry"):
        return
    answer = command_handler().answer(line)
    assert answer.startswith(b"error") and answer.endswith(b"\n") and answer.count(b"\n") == 1


def test_a_process_that_accepts_no_clients_is_not_ready():
    assert command_handler(ready=False).answer(b"readyz").startswith(b"error")


@given(st.binary(max_size=3 * MAX_LINE_BYTES))
def test_a_command_is_returned_once_its_line_is_complete_unless_it_is_too_long(data):
    try:
        line = parse_command(data)
    except ValueError:
        assert len(data.split(b"\n")[0]) > MAX_LINE_BYTES
    else:
        assert (line is None) == (b"\n" not in data)
        assert line is None or data.startswith(line + b"\n")


@pytest.mark.parametrize("text", [b"reboot\n", b"\n", b"\xff\x00\n", b"x" * 5000, b"readyz\x00\n"])
def test_an_invalid_command_gets_an_error_over_the_socket(text):
    async def test():
        server = await open_server(command_handler())
        assert (await send_command(server.address[1], text)).startswith(b"error")
        server.close()

    going(test)


def test_an_incomplete_command_gets_an_error():
    async def test():
        server = await open_server(command_handler())
        reader, writer = await asyncio.open_connection(HOST, server.address[1])
        writer.write(b"ready")
        writer.write_eof()
        assert (await reader.read()).startswith(b"error")
        writer.close()
        server.close()

    going(test)


def test_silent_connections_keep_nobody_out():
    # Without the limit each connection would hold a descriptor for an unlimited time.
    async def test():
        server = await open_server(command_handler())
        port = server.address[1]
        silent = [await asyncio.open_connection(HOST, port) for _ in range(3 * MAX_CONNECTIONS)]
        assert await send_command(port, b"readyz\n") == b"done\n"
        assert len(server.connections) <= MAX_CONNECTIONS
        assert await silent[0][0].read() == b""  # the oldest one was closed
        server.close()
        for _, writer in silent:
            writer.close()

    going(test)


def test_a_failing_metric_affects_only_its_own_command():
    async def test():
        server = await open_server(CommandHandler(lambda: True, lambda: [][0]))
        assert (await send_command(server.address[1], b"telemetry\n")).startswith(b"error")
        assert await send_command(server.address[1], b"readyz\n") == b"done\n"
        server.close()

    going(test)


def test_the_metrics_match_what_clients_and_workers_counted(tmp_path):
    # Fulfilled, faulted and throttled requests as counted by the client, attempts as counted by the workers.
    async def test():
        worker = await StandIn(ok(b"answer")).start()
        bad = await StandIn(lambda request: b"HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n").start()
        known = {"version": 3, "full": True, "servers": [line("w", worker.port), line("v", bad.port)]}
        statuses: dict[int, int] = {}
        process, port = await start(tmp_path / "c.json", known=known, admin=f"{HOST}:0")
        while "accepting operator commands at" not in (text := (await process.stderr.readline()).decode()):
            pass
        admin = int(text.rsplit(":", 1)[1])
        assert await send_command(admin, b"readyz\n") == b"done\n"
        client = await Client.to(port)
        for _ in range(60):
            client.ask()
            status = (await client.answer())[0]
            statuses[status] = statuses.get(status, 0) + 1
        reported = dict(
            entry.split("|")[0].removeprefix("node.").split(":")
            for entry in (await send_command(admin, b"telemetry\n")).decode().split()
            if entry != "end"
        )
        assert int(reported["fulfilled.search"]) == statuses[200]
        assert int(reported["throttled.search"]) == statuses.get(429, 0)
        assert int(reported["faulted.search"]) == statuses.get(502, 0) + statuses.get(504, 0)
        assert int(reported["relayed"]) == worker.arrived.qsize() + bad.arrived.qsize()
        assert (reported["registry_entries"], reported["open_requests"]) == ("2", "0")
        process.terminate()
        assert await process.wait() == 0

    going(test)


def test_scrapes_are_answered_under_load_and_beside_silent_connections(tmp_path):
    # Each answer is due within 1 s (the test waits up to 5 s). Counters only grow and match the clients'.
    async def test():
        worker = await StandIn(ok(b"answer")).start()
        known = {"version": 3, "full": True, "servers": [line("w", worker.port)]}
        process, port = await start(tmp_path / "c.json", known=known, admin=f"{HOST}:0")
        while "accepting operator commands at" not in (text := (await process.stderr.readline()).decode()):
            pass
        admin, stop, statuses = int(text.rsplit(":", 1)[1]), asyncio.Event(), {200: 0, 429: 0, 502: 0, 504: 0}
        silent = [await asyncio.open_connection(HOST, admin) for _ in range(MAX_CONNECTIONS)]
        for _, writer in silent[::2]:
            writer.write(b"tele")  # an incomplete command

        async def client() -> None:
            link = await Client.to(port)
            while not stop.is_set():
                link.ask()
                statuses[(await link.answer())[0]] += 1

        def parse_metrics(answer: bytes) -> dict[str, int]:
            assert answer.endswith(b"\nend\n")
            lines = [
                one.split("|")[0].removeprefix("node.").split(":") for one in answer.decode().split()[:-1]
            ]
            return {name: int(value) for name, value in lines}

        clients = [asyncio.create_task(client()) for _ in range(8)]
        last: dict[str, int] = {}
        for _ in range(20):
            metrics = parse_metrics(await asyncio.wait_for(send_command(admin, b"telemetry\n"), 5))
            assert all(metrics[name] >= last.get(name, 0) for name in metrics if "." in name)
            assert metrics["open_requests"] <= 8
            last = metrics
            await asyncio.sleep(0.02)
        stop.set()
        await asyncio.gather(*clients)
        metrics = parse_metrics(await send_command(admin, b"telemetry\n"))
        assert metrics["fulfilled.search"] == statuses[200] > 0
        assert metrics["throttled.search"] == statuses[429]
        assert metrics["relayed"] == worker.arrived.qsize()
        for _, writer in silent:
            writer.close()
        process.terminate()
        assert await process.wait() == 0

    going(test)


@pytest.mark.parametrize("admin", ["nowhere", f"{HOST}:99999"])
def test_the_error_for_an_invalid_address_names_its_key(admin):
    with pytest.raises(ValueError, match="admin"):
        read_config(json.dumps(config(admin=admin)), {})
    with pytest.raises(ValueError, match="admin"):
        read_config(json.dumps(config()), {"NODE_ADMIN": admin})


def test_an_address_in_use_ends_the_start_with_an_error_line(tmp_path):
    async def test():
        server = await open_server(command_handler())
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        path = tmp_path / "c.json"
        path.write_text(json.dumps(config(admin=f"{HOST}:{server.address[1]}")))
        process = await asyncio.create_subprocess_exec(
            *("/bin/sh", "-c", run),
            cwd=ROOT,
            env=os.environ | {"NODE_CONFIG": str(path)},
            stderr=subprocess.PIPE,
        )
        _, stderr = await process.communicate()
        assert process.returncode == 2 and stderr.decode().splitlines()[-1].startswith("pepperrun: admin:")
        server.close()

    going(test)
