"""Evacuation orders given to real processes at set times, and what reached the zone's workers.

    python3 benchmarks/evacuation_orders.py 0:begin:0,2:begin:1,6:finish:2,47:finish:3 --watch 62 \\
        --stands 0:47

A plan is a list of `seconds:what:node`: an order to a control node, or `freeze` and `thaw` of its process.
The next step waits for an order's answer, but no longer than 0.2 s. `--stands FROM:TO` names a time in which
an acknowledged order stands; from 5 s (`evacuation_ms`) after its begin on no request may reach the zone.
Five control nodes, three gatekeepers and nine workers run on loopback addresses, as the reviews' cases start
them. Exit code 1: a request reached the zone.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "review"))

from stand_ins import BOUNDS, Clients, Deployment, Record, call, end_in_order, open_deployment

ZONE = "zg-a"
SERVICE = "huvo11a"
CORES, GATEWAYS, WORKERS, CLIENTS = 5, 3, 9, 9
CLIENT_PAUSE_S = 0.05
ANSWER_S = 0.2  # how long the next step waits for an order's answer
CALM_S = 4.0  # before the first step
SIGNALS = {"freeze": signal.SIGSTOP, "thaw": signal.SIGCONT}


class Step(NamedTuple):
    """One step of a plan: when, what, and at which control node."""

    at_s: float
    what: str
    node: int


class Span(NamedTuple):
    """A time in which an acknowledged order stands, seconds from the start of the plan."""

    from_s: float
    to_s: float


def parse_plan(text: str) -> list[Step]:
    """Return the steps of a plan; raise ValueError if one can't be read."""
    parts = [item.split(":") for item in text.split(",")]
    return [Step(float(at), what, int(node)) for at, what, node in parts]


def parse_span(text: str) -> Span:
    """Return the span that `FROM:TO` names."""
    start, _, end = text.partition(":")
    return Span(float(start), float(end))


async def play(
    record: Record, deployment: Deployment, plan: list[Step], watch_s: float, spans: list[Span]
) -> int:
    """Play the plan; return 1 if a request reached the zone while an order stood, else 0."""
    workers = await open_deployment(deployment, record, SERVICE, WORKERS)
    clients = Clients(deployment, record, SERVICE, CLIENTS, CLIENT_PAUSE_S)
    await asyncio.sleep(CALM_S)
    started = record.now()
    for step in plan:
        await asyncio.sleep(max(0.0, started + step.at_s - record.now()))
        await take_step(record, deployment, step, started)
    await asyncio.sleep(max(0.0, started + watch_s - record.now()))
    await clients.stop()
    for worker in workers:
        await worker.close()
    reached = sorted(at - started for one in workers if one.zone == ZONE for at, _, _ in one.runs)
    return judge(record, reached, plan, spans)


pending: set[asyncio.Task[None]] = set()  # orders to frozen nodes, which are answered after the thaw


async def take_step(record: Record, deployment: Deployment, step: Step, started: float) -> None:
    """Freeze or thaw a process, or give an order; one to a frozen node does not hold up the plan."""
    if step.what in SIGNALS:
        deployment.signal(deployment.cores[step.node], SIGNALS[step.what])
        record.say(f"{record.now() - started:.2f} s: {step.what} node {step.node}")
        return
    task = asyncio.create_task(give_order(record, deployment, step, started))
    pending.add(task)
    task.add_done_callback(pending.discard)
    await asyncio.wait({task}, timeout=ANSWER_S)


async def give_order(record: Record, deployment: Deployment, step: Step, started: float) -> None:
    """Give an order once, and record its answer."""
    try:
        status, _, body = await call(deployment.control[step.node], "POST", f"/evacuate/{ZONE}/{step.what}")
    except OSError as error:
        status, body = 0, repr(error).encode()
    said = f"{step.what} at node {step.node}: {status} {body.decode()[:130]}"
    record.say(f"{record.now() - started:.2f} s: {said}")


def judge(record: Record, reached: list[float], plan: list[Step], spans: list[Span]) -> int:
    """Count the requests that reached the zone too late; return the exit code."""
    broken = 0
    for span in spans:
        bound = span.from_s + BOUNDS["evacuation_ms"] / 1000
        late = [at for at in reached if bound < at < span.to_s]
        first = f", the first at {late[0]:.1f} s" if late else ""
        record.say(f"an order stands from {span.from_s:g} to {span.to_s:g} s: {len(late)} requests{first}")
        broken += len(late)
    after = [at for at in reached if at > plan[-1].at_s]
    record.say(f"first request after the last step: {f'{after[0]:.1f} s' if after else 'none'}")
    return 1 if broken else 0


def main() -> int:
    """Run the command; the exit code is 1 if a rule was broken."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("plan", type=parse_plan)
    parser.add_argument("--watch", type=float, default=30.0, help="seconds to watch, from the first step on")
    parser.add_argument("--stands", type=parse_span, action="append", default=[], metavar="FROM:TO")
    options = parser.parse_args()
    end_in_order()
    record = Record(Path(tempfile.mkdtemp(prefix="evacuation-orders-")) / "record.txt")
    deployment = Deployment(record, CORES, GATEWAYS, WORKERS)
    try:
        return asyncio.run(play(record, deployment, options.plan, options.watch, options.stands))
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
