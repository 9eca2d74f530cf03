"""The lab's workers and their discovery: `python3 -m pepperrun.lab.workers`, JSON lines on its input.

The model's nodes on sockets (`pepperrun.bench.fleet_process`), which write down what reaches them: when, from
which gatekeeper, for which try, and whether it was taken. Each gatekeeper has an agent of discovery of its
own, which names the workers by the relay's ports and tells late.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import sys
import time
from typing import Any

from pepperrun.bench.fleet_process import HOST, REJECTED, Connection, StandInNode
from pepperrun.lab.relay import gatekeeper_of
from pepperrun.model.node import Node, NodeSpec
from pepperrun.net.http1 import Request

_CALL = re.compile(rb"[?&]call=([0-9]+)-([0-9]+)")
_CLASS = re.compile(rb"[?&]cls=([0-9])")
_CUSTOMER = re.compile(rb"[?&]customer=([0-9a-f]+)")
_WORK = re.compile(rb"[?&]work=([0-9]{1,15})")


class LabConnection(Connection):
    """Writes down each request that comes."""

    def _ask(self, request: Request) -> None:
        node, target = self.node, request.target
        assert isinstance(node, LabNode)
        call, customer, work = _CALL.search(target), _CUSTOMER.search(target), _WORK.search(target)
        kind = _CLASS.search(target)
        if call is None or customer is None or work is None or kind is None or self.transport is None:
            self.answer(400, [])
            return
        peer = self.transport.get_extra_info("peername")
        row = [
            *(time.monotonic_ns(), node.number, gatekeeper_of(peer[0]) if peer else -1),
            *(int(call[1]), int(call[2]), int(kind[1]), int(customer[1], 16), int(work[1]), 1, 0),
        ]
        node.fleet.arrivals.append(row)
        self.row, self.units = row, b"1"
        self.key = object()
        if not node.arrive(self, int(work[1]) * node.slower):
            self.key, row[8] = None, 0
            self.answer(503, [REJECTED])

    def done(self) -> None:
        self.row[9] = time.monotonic_ns()
        super().done()


class LabNode(StandInNode):
    """A node that knows its fleet."""

    make = LabConnection

    def __init__(self, fleet: LabFleet, number: int, zone: str, node: Node) -> None:
        super().__init__(f"w{number}", zone, number // 2, node)
        self.fleet, self.number, self.slower = fleet, number, 1.0


class LabFleet:
    """All nodes, what reached them, and the agents."""

    def __init__(self, given: dict[str, Any]) -> None:
        cold_ns = int(given["cold_s"] * 1e9)
        kind = NodeSpec(
            "lab",
            given["cores"],
            1.0,
            0.0,
            given["slots"],
            64,
            warmup_min_speed=given["cold_from"],
            warmup_ns=cold_ns,
        )
        self.late_s: float = given["late_s"]
        zones = given["zones"]
        self.nodes = [
            LabNode(self, number, zones[number % len(zones)], Node(kind, 1.0, time.monotonic_ns()))
            for number in range(given["workers"])
        ]
        self.ports: list[list[int]] = []  # by gatekeeper and worker, the relay's
        self.arrivals: list[list[int]] = []
        self.starts: list[list[int]] = []  # a node that starts cold: when and which
        self.told: list[list[int]] = []  # when, gatekeeper, worker: ready again, or drains or is gone
        self.knows: list[set[int]] = []
        self.version, self.told_version = 1, 1
        self.tellings = self.told_turn = 0
        self.states = [node.state for node in self.nodes]
        self.births = [0] * len(self.nodes)
        self.changed = asyncio.Event()
        self.tasks: set[asyncio.Task[Any]] = set()

    async def open(self) -> list[int]:
        """Opens all; their ports."""
        for node in self.nodes:
            await node.open()
        return [node.port for node in self.nodes]

    async def agents(self, ports: list[list[int]]) -> list[int]:
        """An agent for each gatekeeper; their ports."""
        self.ports, out = ports, []
        for one in range(len(ports)):
            self.knows.append(set())
            server = await asyncio.start_server(
                lambda reader, writer, one=one: self._agent(one, reader, writer),  # type: ignore[misc]
                HOST,
                0,
            )
            out.append(int(server.sockets[0].getsockname()[1]))
        return out

    def listing(self, one: int) -> dict[str, Any]:
        """The whole list as a gatekeeper is told it."""
        servers = []
        for node, state, born in zip(self.nodes, self.states, self.births, strict=True):
            if state == "Gone":
                continue
            entry = node.entry() | {"addr": f"{HOST}:{self.ports[one][node.number]}", "state": state}
            servers.append(entry | {"started_ms": born})
        return {"version": self.told_version, "full": True, "servers": servers}

    async def _agent(self, one: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                match = re.search(rb"index=(\d+)&wait=(\d+)", head.split(b"\r\n")[0])
                if match is not None and int(match[1]) >= self.told_version:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), int(match[2]) / 1000)
                body = json.dumps(self.listing(one)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                now = time.monotonic_ns()
                for node, state in zip(self.nodes, self.states, strict=True):
                    if state == "Ready":
                        if node.number in self.knows[one]:
                            self.knows[one].discard(node.number)
                            self.told.append([now, one, node.number, 1])
                    elif node.number not in self.knows[one]:
                        self.knows[one].add(node.number)
                        self.told.append([now, one, node.number, 0])
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _tell(self) -> None:
        """Discovery tells what is so now, late."""
        states = [node.state for node in self.nodes]
        births = [node.started_ms for node in self.nodes]
        self.tellings += 1
        turn = self.tellings
        await asyncio.sleep(self.late_s)
        if turn < self.told_turn:  # a later one was less late: what was so before it is no news
            return
        self.told_turn = turn
        self.states, self.births = states, births
        self.version += 1
        self.told_version = self.version
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def keep(self, what: Any) -> None:
        """Holds a task until it is over."""
        task = asyncio.get_running_loop().create_task(what)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _cold(self, node: LabNode) -> None:
        await node.start_cold()
        self.starts.append([time.monotonic_ns(), node.number])
        await self._tell()

    async def hit(self, what: str, numbers: list[int], for_s: float, factor: float) -> None:
        """A fault of workers."""
        nodes = [self.nodes[number] for number in numbers]
        if what == "worker_kill":
            for node in nodes:
                node.die()
                node.state = "Gone"
            self.keep(self._tell())
            await asyncio.sleep(for_s)
            if for_s > 0:
                for node in nodes:
                    self.keep(self._cold(node))
        elif what == "worker_drain":
            for node in nodes:
                node.state = "Terminating"
            await self._tell()
            await asyncio.sleep(max(3.0, for_s))
            for node in nodes:
                node.die()
                node.state = "Gone"
            await self._tell()
        elif what == "worker_slow":
            for node in nodes:
                node.slower = factor
            await asyncio.sleep(for_s)
            for node in nodes:
                node.slower = 1.0


async def main() -> None:
    """Obeys lines of JSON until the input ends."""
    loop = asyncio.get_running_loop()
    fleet = LabFleet(json.loads(await loop.run_in_executor(None, sys.stdin.readline)))
    print(json.dumps({"ports": await fleet.open()}), flush=True)
    ports = json.loads(await loop.run_in_executor(None, sys.stdin.readline))["ports"]
    agents = await fleet.agents(ports)
    print(
        json.dumps({"agents": agents, "known": [fleet.listing(one) for one in range(len(ports))]}), flush=True
    )
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        command = json.loads(line)
        match command.pop("do"):
            case "hit":
                fleet.keep(fleet.hit(**command))
                print("{}", flush=True)
            case "late":
                fleet.late_s = command["late_s"]
                print("{}", flush=True)
            case "log":
                log = {"arrivals": fleet.arrivals, "starts": fleet.starts, "told": fleet.told}
                print(json.dumps(log), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
