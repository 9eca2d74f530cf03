"""Overlapping planned work: rolling restarts, settings reloads, kills of control nodes, time-out changes."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import subprocess
import time
from collections import Counter
from collections.abc import Callable

from pepperrun.foundation.errors import PepperrunError
from pepperrun.operator.control_client import ControlClient
from pepperrun.operator.local_cluster import Child, LocalCluster
from pepperrun.soak.records import Stop

GRACE_MARGIN_S = 20.0  # a process that runs longer past its grace period is a finding and is killed
MEAN_RELOAD_INTERVAL_S = 0.7  # between two SIGHUPs, each to one gateway
CHANGE_INTERVAL_S = 0.3  # between two configuration changes
CALL_TIMEOUT_S = 10.0  # for one call of the control plane
CONTROL_NODE_DOWNTIME_S = 0.5  # between the kill of a control node and its restart
MEAN_KILL_INTERVAL_S = 2.0


class PlannedWork:
    """The planned work of one run.

    `stops` and `counts` say what was done; `overdue` names the processes that outlived their grace period.
    """

    def __init__(self, cluster: LocalCluster, rng: random.Random, at_once: int, gap_s: float) -> None:
        self.cluster, self.rng, self.at_once, self.gap_s = cluster, rng, at_once, gap_s
        self.gateways = [child for child in cluster.children if child.role == "gateway_node"]
        self.control_nodes = [child for child in cluster.children if child.role == "control_node"]
        self.stops: list[Stop] = []
        self.overdue: list[str] = []
        self.counts: Counter[str] = Counter()
        self.control_client, self.edition = ControlClient(cluster.control_addresses, CALL_TIMEOUT_S), 1

    async def run(self, stop_requested: asyncio.Event, routes: Callable[[int], dict[str, object]]) -> None:
        """Do all kinds of work until `stop_requested` is set; a restart step under way is completed.

        `routes(n)` returns the n-th change of the routes.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._roll_gateways(stop_requested))
            group.create_task(self._reload_settings(stop_requested))
            if len(self.control_nodes) > 2:
                group.create_task(self._kill_control_nodes(stop_requested))
            group.create_task(self._change_routes(stop_requested, routes))

    async def _roll_gateways(self, stop_requested: asyncio.Event) -> None:
        while not stop_requested.is_set():
            order = self.rng.sample(self.gateways, len(self.gateways))
            for first in range(0, len(order), self.at_once):
                if stop_requested.is_set():
                    return
                batch = order[first : first + self.at_once]
                await asyncio.gather(*(self.restart(child) for child in batch))
                await _pause(stop_requested, self.gap_s)

    async def restart(self, child: Child) -> None:
        """Send SIGTERM, wait until the process ends, and start it again."""
        process = child.process
        assert process is not None
        stop = Stop(child.ip, time.monotonic_ns())
        self.stops.append(stop)
        process.send_signal(signal.SIGTERM)
        self.counts["SIGTERM"] += 1
        try:
            await asyncio.to_thread(process.wait, self.cluster.grace_s + GRACE_MARGIN_S)
        except subprocess.TimeoutExpired:
            self.overdue.append(child.name)
            process.kill()
        stop.ended_ns = time.monotonic_ns()
        self.cluster.launch(child)

    async def _reload_settings(self, stop_requested: asyncio.Event) -> None:
        while not stop_requested.is_set():
            process = self.rng.choice(self.gateways).process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGHUP)
                self.counts["SIGHUP"] += 1
            await _pause(stop_requested, self.rng.expovariate(1 / MEAN_RELOAD_INTERVAL_S))

    async def _kill_control_nodes(self, stop_requested: asyncio.Event) -> None:
        """Kill control nodes one at a time: the others are a quorum, so no client may notice."""
        while not stop_requested.is_set():
            await _pause(stop_requested, self.rng.uniform(MEAN_KILL_INTERVAL_S / 2, MEAN_KILL_INTERVAL_S * 2))
            child = self.rng.choice(self.control_nodes)
            process = child.process
            if process is None or stop_requested.is_set():
                continue
            process.kill()
            self.counts["SIGKILL of a control node"] += 1
            await asyncio.to_thread(process.wait)
            await asyncio.sleep(CONTROL_NODE_DOWNTIME_S)
            self.cluster.launch(child)

    async def read_edition(self) -> int:
        """Return the configuration edition of the control plane; 0 if it can't be read."""
        try:
            response = await asyncio.to_thread(self.control_client.call, "GET", "/timetable/read")
        except PepperrunError:
            return 0
        return int(json.loads(response.body)["edition"]) if response.status == 200 else 0

    async def _change_routes(
        self, stop_requested: asyncio.Event, routes: Callable[[int], dict[str, object]]
    ) -> None:
        while not stop_requested.is_set():
            await self.change(routes)
            await _pause(stop_requested, CHANGE_INTERVAL_S)

    async def change(self, routes: Callable[[int], dict[str, object]]) -> None:
        """Make a change on top of the last; the next call repeats a change that got no response."""
        body = {"edition": self.edition + 1, "upsert": {"routes": routes(self.edition)}}
        headers, data = {"Based-On": str(self.edition)}, json.dumps(body).encode()
        try:
            response = await asyncio.to_thread(
                self.control_client.call, "POST", "/timetable/amend", data, headers
            )
        except PepperrunError:
            self.counts["change without an answer"] += 1
            return
        self.counts[f"change {response.status}"] += 1
        self.edition += response.status == 200


async def _pause(stop_requested: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await stop_requested.wait()
    except TimeoutError:
        pass
