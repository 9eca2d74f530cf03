"""The world of distribution with narrow links: a long frame takes its time, and what is behind it waits."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from pepperrun.distribution.replicated_state import AppliedChange
from pepperrun.distribution.service import RELAY_BUDGET_S
from pepperrun.distribution.tree import FAN_OUT
from pepperrun.foundation.netstring import Decoder, wire_length
from pepperrun.simulation.distribution_world import MS, Gate, Node, Port, World

ZONES = {f"{region}{zone}": region for zone in range(3) for region in "abc"}
CORES = [*ZONES, "a0", "b0", "c0"]
PART = 100 * MS  # between two parts of a long frame that come
CORE_MBPS = 60  # times a gatekeeper's: 120 against 2 on the largest of the users' sites


class Narrow(World):
    """A world whose links carry so many bits, one frame after the other on each machine's own link."""

    def __init__(self, seed: int, mbps: float, packs: bool = True, straight: bool = True) -> None:
        self.mbps, self.packs, self.straight = mbps, packs, straight
        self.out: dict[str, int] = {}  # until when a machine's link is busy, by ip
        self.into: dict[str, int] = {}
        self.sizes: Counter[str] = Counter()  # bytes out and in, by station
        self.heard: Counter[str] = Counter()  # messages in, by station
        super().__init__(seed, ZONES, CORES)

    def gate(self, index: int, zone: str) -> Gate:
        """Another gatekeeper starts, with a narrow link."""
        gate = super().gate(index, zone)
        if self.straight:
            gate.room = gate.publisher.relay_budget_bytes = int(
                self.mbps * 125_000 * RELAY_BUDGET_S / FAN_OUT
            )
        return gate

    def _over(self, busy: dict[str, int], node: Node, size: int, at: int) -> int:
        """When a frame that comes to a machine's link at `at` is over it."""
        rate = self.mbps * (CORE_MBPS if node.station.startswith("core") else 1)
        busy[node.ip] = max(at, busy.get(node.ip, 0)) + int(size * 8000 / rate)
        return busy[node.ip]

    def _part(self, there: Port) -> None:
        """A part of a frame has come."""
        if there.up and there.address is not None and isinstance(there.mine, Gate):
            there.mine.follower.partial_message(there, there.mine.clock())

    def send(self, port: Port, frame: bytes) -> None:
        """As the model's, on links that are narrow."""
        if not port.up:
            return
        size = wire_length(frame) if self.packs else len(frame)
        gone = self._over(self.out, port.mine, size, self.now) + self._delay(port.mine, port.other)
        port.last = max(port.last, self._over(self.into, port.other, size, gone))
        for node in (port.mine, port.other):
            self.sizes[node.station] += size
        if self.cut(port.mine, port.other):
            return
        there = port.peer
        for at in range(max(gone, self.now + PART), port.last, PART):
            self.at(at, port.other, lambda: self._part(there))

        def arrive() -> None:
            for message in Decoder().feed(frame):
                self.heard[there.mine.station] += 1
                if there.up:
                    there.mine.take(there, message)

        self.at(port.last, port.other, arrive)


def route(rng: random.Random, at: int) -> dict[str, Any]:
    """One as operators send them."""
    name = "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=7))
    return {
        **{"name": f"r-{name}", "depot": f"{name[:4]}{at % 40}.example", "prefix": f"/{name}/p{at}/"},
        **{"route_kind": "safe", "deadline_ms": 1500, "target_ms": 400, "precedence": 2, "tries": 2},
        **{"unstamped": False, "home_regions": [], "line": f"line{at % 3}"},
    }


def told(world: Narrow, routes: int, most_s: int = 60) -> list[float]:
    """Ms after which each gatekeeper held a change of so many routes; who took longer is left out."""
    number = max(world.acked) + 1
    rows = {one["name"]: one for one in (route(world.random, at) for at in range(routes))}
    state = {"edition": number, "routes": rows, "taken": [[number, f"d{number}"]]}
    times: list[float] = []
    began = world.now

    def note(gate: Any) -> Callable[..., None]:
        return lambda held, *_: times.append((world.now - began) / MS) if held == number else None

    for gate in world.gates:
        gate.replicated.on_state.append(note(gate))
    for control_node in world.control_nodes:
        control_node.replicated.update_state(number, state, AppliedChange(number - 1, state))
        control_node.known_at = world.now
    world.acked[number] = world.now
    while len(times) < len(world.gates) and world.now - began < most_s * 1000 * MS:
        world.run(20)
    for gate in world.gates:
        gate.replicated.on_state.pop()
    return sorted(times)
