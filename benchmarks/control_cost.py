"""Processor time of the control plane at size: what one long change takes, and what machines take at rest.

    PYTHONHASHSEED=0 python3 benchmarks/control_cost.py [--routes N] [--gates N] [--cores N] [--workers N]

The best of five for each step of a change on top of 190 routes, ms of a whole processor; then, on the model's
loops (no HTTP, no kernel), ms a second and messages of core machines and gatekeepers without traffic.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from pepperrun.consensus.canonical_json import CachedJsonEncoder
from pepperrun.consensus.state import digest_of
from pepperrun.control import changes
from pepperrun.control.matchers import Call
from pepperrun.control.order_codec import read_amend, read_replace
from pepperrun.control.table_codec import encode_table
from pepperrun.dataplane.numbering import Numbering
from pepperrun.dataplane.routes import RoutingTable
from pepperrun.foundation.netstring import Decoder, compress, encode
from pepperrun.foundation.settings import Bounds
from pepperrun.simulation import virtual_time
from pepperrun.simulation.measures import Measures
from pepperrun.simulation.narrow_links import ZONES, route
from pepperrun.simulation.nodes import Core, Gate, machines, settings_of
from pepperrun.simulation.plans import Shape
from pepperrun.simulation.virtual_time import MS, World


def best(make: Callable[[], Any]) -> tuple[float, Any]:
    """Ms of processor time, the least of five, and what came of it."""
    least, out = 1e9, None
    for _ in range(5):
        began = time.process_time()
        out = make()
        least = min(least, (time.process_time() - began) * 1000)
    return least, out


def sent(rng: random.Random, edition: int, count: int) -> dict[str, Any]:
    """Routes as operators send them."""
    items = {one["name"]: one for one in (route(rng, at) for at in range(count))}
    return {"edition": edition, "routes": encode_table(items)}


def change(routes: int) -> None:
    """Each step of a long change."""
    rng = random.Random(1)
    lines = encode_table({f"line{at}": {"name": f"line{at}", "cold_s": 3} for at in range(3)})
    first = sent(rng, 1, 190) | {"carrier_lines": lines, "limits": {}}
    more = {"edition": 2, "upsert": {"routes": sent(rng, 2, routes)["routes"]}}
    held, _ = changes.apply(None, read_replace(json.dumps(first).encode(), 0))
    assert held is not None
    data = json.dumps(more).encode()
    took, op = best(lambda: read_amend(data, 1))
    print(f"read and checked by the core machine that is called ms={took:.1f} bytes={len(data)}")
    new, _ = changes.apply(held, op)
    assert new is not None
    took, _ = best(lambda: CachedJsonEncoder(sort_keys=True).encode(new))
    print(f"digest, all items new ms={took:.1f}")
    small = new | {"routes": new["routes"] | {"r": {"name": "r"}}}
    digest_of(new)
    took, _ = best(lambda: (digest_of(small), digest_of(new)))
    print(f"digest, one item of them new ms={took / 2:.1f}")
    took, frame = best(lambda: encode({"k": "change", "base": 1, "n": 2, "op": op, "seal": ""}))
    print(f"written for links ms={took:.1f} bytes={len(frame)}")
    compress.cache_clear()
    began = time.process_time()
    short = compress(frame)
    print(f"deflated once for all links ms={(time.process_time() - began) * 1000:.1f} bytes={len(short)}")
    took, _ = best(lambda: Decoder().feed(short))
    print(f"read off a link ms={took:.1f}")
    numbering = Numbering(Bounds())
    before = RoutingTable(1, held, numbering, None)
    took, _ = best(lambda: RoutingTable(2, new, numbering, before))
    print(f"made ready by a gatekeeper ms={took:.1f}")


def rest(gates: int, cores: int, workers: int, seconds: int) -> None:
    """Without traffic."""
    world = World(1)
    zones = list(ZONES)
    core_machines = machines(world, cores, "core", zones, ZONES, 1)
    contacts = [one.ip for one in core_machines[:3]]
    control_nodes = [
        Core(one, settings_of(one, "sorting", contacts, ZONES, {}), contacts, "") for one in core_machines
    ]
    gate_machines = machines(world, gates, "gate", zones, ZONES, 2)
    measures = Measures(Shape())
    gateways = [
        Gate(
            one, settings_of(one, "counter", contacts, ZONES, {}), lambda *_: 0, lambda *_: None, "", measures
        )
        for one in gate_machines
    ]
    places = machines(world, workers, "worker", zones, ZONES, 3)
    spent: Counter[str] = Counter()
    messages: Counter[str] = Counter()
    do, write = virtual_time.Loop.do, virtual_time.End.write

    def timed(loop: Any, what: Any, *args: Any) -> None:
        began = time.process_time()
        do(loop, what, *args)
        spent[loop.machine.name] += time.process_time() - began

    def counted(end: Any, data: Any) -> None:
        messages[end.loop.machine.name] += 1
        write(end, data)

    virtual_time.Loop.do, virtual_time.End.write = timed, counted  # type: ignore[method-assign]
    calls = dict(enumerate(at % cores for at in range(workers)))

    def beat(at: int, serial: int) -> None:
        place = places[at]
        notice = {"line": f"line{at % 3}", "zone": place.zone, "edition": "1", "berths": 6}
        body = {"address": f"{place.ip}:90", "notice": notice}
        body |= {"tracking": {"state": "boarding", "serial": serial, "cold_ms": 0}}

        def done(answer: Any) -> None:
            to = json.loads(answer.body).get("forward_to") if answer.status == 200 else None
            if to is not None:
                calls[at] = [one.ip for one in core_machines].index(to.partition(":")[0])
            elif answer.status != 200:
                calls[at] = (calls[at] + 1) % cores

        control_node = control_nodes[calls[at]]
        assert control_node.machine.loop is not None
        call = Call("POST", ["crew", f"i-{at}", "beat"], body=json.dumps(body).encode())
        control_node.machine.loop.do(control_node.answer, call, done)
        world.at(world.now + 1500 * MS, beat, at, serial + 1)

    for control_node in control_nodes:
        control_node.start(True)
    for gateway in gateways:
        gateway.start()
    for at in range(workers):
        world.at(world.now + 500 * MS + at * 9 * MS, beat, at, 1)
    world.run(6000 * MS)
    for when, names in (("start", 6), ("rest", seconds)):
        if when == "rest":
            spent.clear(), messages.clear()
            world.run(world.now + seconds * 1000 * MS)
        for kind, some in (("core", core_machines), ("gate", gate_machines)):
            ms = [spent[one.name] * 1000 / names for one in some]
            most = max(messages[one.name] for one in some) / names
            print(
                f"{when} {kind} gates={gates} cores={cores} ms_a_second={sum(ms) / len(ms):.1f}"
                f" most={max(ms):.1f} messages_out_a_second={most:.0f}"
            )


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routes", type=int, default=1400)
    parser.add_argument("--gates", type=int, default=84)
    parser.add_argument("--cores", type=int, default=12)
    parser.add_argument("--workers", type=int, default=168)
    parser.add_argument("--seconds", type=int, default=5)
    given = parser.parse_args()
    change(given.routes)
    rest(given.gates, given.cores, given.workers, given.seconds)


if __name__ == "__main__":
    main()
