"""The program as the platform starts it: command line, configuration, reload and graceful shutdown."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tomllib
from pathlib import Path
from types import SimpleNamespace

import pytest
from standins import HOST, Client, StandIn, going, line, ok, stall, wait_then

from pepperrun.config import Config, read_auth, read_config
from pepperrun.net.directory import Directory
from pepperrun.serve import reload_config

ROOT = Path(__file__).parent.parent
SETTINGS = {
    "Me": 0,
    "ReplicasOfMe": 1,
    "PeriodNs": 4_000_000,
    "Classes": [
        {
            "Name": "search",
            "OnTimeNs": 2 * 10**9,
            "DeadlineNs": 3 * 10**9,
            "Semantics": "read_like",
            "Group": "all",
        }
    ],
    "Tariffs": [{"Name": "wide", "Refill": 100.0, "StoreSize": 100.0}],
    "Limits": {"MostTries": 3, "KeepaliveNs": 15 * 10**9},
    "Rules": {"StopSendingWithinNs": 250_000_000},
    "Dcs": ["a"],
}


def config(**changes: object) -> dict[str, object]:
    return {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peer_listen": f"{HOST}:0",
        "peers": [f"{HOST}:1"],
        "known": {"version": 1, "full": True, "servers": []},
        "settings": SETTINGS,
    } | changes


@pytest.fixture(scope="module", autouse=True)
def built() -> None:
    """Runs the deploy file's `build` command."""
    build = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["build"]
    subprocess.run(["/bin/sh", "-c", build], cwd=ROOT, check=True)


async def line_with(process: asyncio.subprocess.Process, text: str) -> str:
    while text not in (got := (await process.stderr.readline()).decode()):
        assert got, "the program has ended"
    return got


async def start(path: Path, **changes: object) -> tuple[asyncio.subprocess.Process, int]:
    """Starts the program with the deploy file's `run` command; returns the process and its port."""
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    path.write_text(json.dumps(config(**changes)))
    process = await asyncio.create_subprocess_exec(
        *("/bin/sh", "-c", run), cwd=ROOT, env=os.environ | {"NODE_CONFIG": str(path)}, stderr=subprocess.PIPE
    )
    return process, int((await line_with(process, "listens at")).rsplit(":", 1)[1])


def test_it_serves_from_the_known_list_and_drains_at_sigterm(tmp_path):
    # Discovery is unreachable all the time: the known list stays in use, and readiness does not wait for it.
    async def test():
        worker = await StandIn(wait_then(ok(b"answer"))).start()
        known = {"version": 3, "full": True, "servers": [line("w", worker.port)]}
        process, port = await start(tmp_path / "config.json", known=known)
        client = await Client.to(port)
        client.writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await client.answer())[0] == 200
        client.ask()
        await worker.arrived.get()
        process.send_signal(signal.SIGTERM)
        while "draining" not in (await process.stderr.readline()).decode():
            pass
        late = await Client.to(port)  # new connections are still accepted for a while
        late.ask()
        await worker.arrived.get()
        worker.go.set()
        for one in (client, late):
            status, fields, body = await one.answer()
            assert (status, fields["connection"], body) == (200, "close", b"answer")
        assert await process.wait() == 0

    going(test)


def test_after_a_restart_nothing_is_sent_before_discovery_has_answered(tmp_path):
    # The list of the previous process may contain a worker that has begun to drain since.
    async def test():
        draining, ready = await StandIn(ok(b"draining")).start(), await StandIn(ok(b"ready")).start()
        news = json.dumps(
            {"version": 4, "full": False, "servers": [line("w", draining.port, "Terminating")]}
        ).encode()

        async def late(server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.1)
            writer.write(ok(news))

        agent = await StandIn(late, stall).start()
        workers = [line("w", draining.port), line("v", ready.port)]
        known = {"version": 3, "full": True, "servers": workers}
        process, port = await start(tmp_path / "config.json", known=known, discovery=f"{HOST}:{agent.port}")
        for _ in range(12):
            client = await Client.to(port)
            client.ask()
            assert (await client.answer())[::2] == (200, b"ready")
        assert draining.arrived.empty()
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    going(test)


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"peers": ["x"]}, "peers"),
        ({"seed": "not hex"}, "seed"),
        ({"limits": {"sockets": 3}}, "limits.sockets"),
        ({"known": {"servers": 3}}, "known.servers"),
        ({"settings": SETTINGS | {"Me": 4}}, "settings.me"),
        ({"settings": SETTINGS | {"Classes": [{"Name": "x"}]}}, "settings.OnTimeNs"),
        ({"settings": SETTINGS | {"Limits": {"KeepaliveNs": 0}}}, "settings.Limits.KeepaliveNs"),
        ({"settings": None}, "settings"),
    ],
)
def test_the_error_for_an_invalid_configuration_names_its_key(changes, key):
    with pytest.raises(ValueError, match=f"^{key}: ") as caught:
        read_config(json.dumps(config(**changes)), {})
    assert "\n" not in str(caught.value)


def test_an_invalid_configuration_ends_the_program_with_one_line_and_exit_code_2(tmp_path):
    for text, key in (
        ("{", "NODE_CONFIG"),
        (json.dumps(config(listen="x")), "listen"),
        (None, "No such file"),
    ):
        path = tmp_path / "config.json"
        path.unlink(missing_ok=True)
        if text is not None:
            path.write_text(text)
        done = subprocess.run(
            [sys.executable, "-m", "pepperrun"],
            cwd=ROOT,
            env=os.environ | {"NODE_CONFIG": str(path)},
            capture_output=True,
            text=True,
        )
        assert done.returncode == 2 and done.stderr.count("\n") == 1 and key in done.stderr


def test_environment_variables_replace_missing_keys():
    table = config()
    for key in ("name", "listen", "discovery"):
        del table[key]
    env = {"NODE_NAME": "n9", "NODE_LISTEN": "[::1]:80", "NODE_DISCOVERY": f"{HOST}:3"}
    got = read_config(json.dumps(table), env)
    assert (got.name, got.listen, got.discovery) == ("n9", ("::1", 80), (HOST, 3))


def test_forward_authentication_is_off_unless_its_option_is_given(tmp_path):
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    assert "forward-auth" not in run
    shipped = json.loads((ROOT / "deploy/forward-auth.json").read_text())
    assert read_auth(json.dumps(shipped)).asking == {"booking-confirm"}

    async def test():
        identity = await StandIn(ok(b"", b"X-Auth-User: ejection")).start()
        path = tmp_path / "auth.json"
        changes = {"listen": f"{HOST}:0", "servers": [{"address": f"{HOST}:{identity.port}"}]}
        path.write_text(json.dumps(shipped | changes))
        env = {name: value for name, value in os.environ.items() if name != "NODE_CONFIG"}
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "pepperrun", "--forward-auth", str(path)),
            cwd=ROOT,
            env=env,
            stderr=subprocess.PIPE,
        )
        first = (await process.stderr.readline()).decode()
        client = await Client.to(int(first.rsplit(":", 1)[1]))
        forwarded = b"X-Forwarded-Method: GET\r\nX-Forwarded-Host: d\r\nX-Forwarded-Uri: /\r\n"
        client.writer.write(b"GET / HTTP/1.1\r\nHost: g\r\n" + forwarded + b"\r\n")
        status, fields, _ = await client.answer()
        assert (status, fields["x-auth-user"]) == (200, "ejection")
        process.terminate()
        assert await process.wait() == 0

    going(test)


def test_sighup_changes_the_discovery_address_and_disturbs_no_request(tmp_path):
    # An unhandled SIGHUP ends the program and loses all requests in flight.
    async def test():
        first, second = await StandIn(wait_then(ok(b"first"))).start(), await StandIn(ok(b"second")).start()
        agents = []
        for worker in (first, second):
            listed = {"version": 1, "full": True, "servers": [line(f"w{worker.port}", worker.port)]}
            agents.append(await StandIn(ok(json.dumps(listed).encode()), stall).start())
        path = tmp_path / "config.json"
        process, port = await start(path, discovery=f"{HOST}:{agents[0].port}")
        await agents[0].arrived.get()
        await agents[0].arrived.get()  # the list has been applied: this is the long poll
        waiting = await Client.to(port)
        waiting.ask()
        await first.arrived.get()

        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        assert "stays in force: NODE_CONFIG" in await line_with(process, "configuration")
        path.write_text(json.dumps(config(discovery=f"{HOST}:{agents[1].port}", name="other")))
        process.send_signal(signal.SIGHUP)
        assert "next start: name" in await line_with(process, "configuration")
        await agents[0].closed.get()
        await agents[1].arrived.get()
        await agents[1].arrived.get()

        late = await Client.to(port)
        late.ask()
        assert (await late.answer())[2] == b"second"
        first.go.set()
        assert (await waiting.answer())[2] == b"first"
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)  # a SIGHUP during the drain must not end it early
        assert await process.wait() == 0

    going(test)


def test_reload_whose_member_keys_can_not_be_read_changes_nothing():
    # Guards against a reload that is applied in part: the keys were read once more after the rest.
    old, new = (read_config(json.dumps(config(discovery=f"{HOST}:{port}")), {}) for port in (1, 2))

    def keys_vanish(config: Config) -> None:
        raise FileNotFoundError("the key file is being replaced")

    moves: list[object] = []
    files = SimpleNamespace(read=lambda metrics: (new, None, None, None), membership=keys_vanish)
    watch = SimpleNamespace(move=lambda *where, **how: moves.append(where))
    platform = SimpleNamespace(
        membership=object(), apply_endpoint_list=print, directory=Directory(("a",), int)
    )
    parts = {"platform": (platform, None)}
    assert reload_config(files, old, None, parts, watch) == (old, None)  # type: ignore[arg-type]
    assert not moves


def test_sighup_applies_other_authentication_servers(tmp_path):
    async def test():
        servers = [await StandIn(ok(b"", b"X-Auth-User: %d" % number)).start() for number in (1, 2)]
        path = tmp_path / "auth.json"
        table = json.loads((ROOT / "deploy/forward-auth.json").read_text()) | {"listen": f"{HOST}:0"}

        def write(server):
            path.write_text(json.dumps(table | {"servers": [{"address": f"{HOST}:{server.port}"}]}))

        write(servers[0])
        env = {name: value for name, value in os.environ.items() if name != "NODE_CONFIG"}
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "pepperrun", "--forward-auth", str(path)),
            cwd=ROOT,
            env=env,
            stderr=subprocess.PIPE,
        )
        client = await Client.to(int((await line_with(process, "listens at")).rsplit(":", 1)[1]))
        for number, server in enumerate(servers, 1):
            if number == 2:
                write(server)
                process.send_signal(signal.SIGHUP)
                await line_with(process, "applied the new")
            forwarded = b"X-Forwarded-Method: GET\r\nX-Forwarded-Host: d\r\nX-Forwarded-Uri: /\r\n"
            client.writer.write(b"GET / HTTP/1.1\r\nHost: g\r\n" + forwarded + b"\r\n")
            assert (await client.answer())[1]["x-auth-user"] == str(number)
        process.terminate()
        assert await process.wait() == 0

    going(test)
