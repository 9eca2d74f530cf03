"""How many silent connections a gatekeeper carries, what each costs and what suffers first."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pepperrun.bench.idle_clients import descriptors
from pepperrun.bench.rig import HOST, Child, Rig, RigError, Usage, kernel_bytes

PER_PROCESS = 17_000  # connections that one process of clients holds
OPENERS = 4  # processes that open at once at least
CLIENTS = {"idle_s": 7200, "first_byte_s": 7200, "request_s": 10, "park_after_s": 0.5}
HERE = 16_400  # connections in the gatekeeper's own process before holders are needed
SUFFERS = 1.25  # times the p99 without silent connections
Say = Callable[[str], None]


@dataclass(slots=True, frozen=True)
class Plan:
    """What to measure: rates in requests a second, spans in seconds."""

    steps: tuple[int, ...] = (1000, 4000, 16000)
    rate: float = 150.0
    burst: float = 4.0  # times the rate
    steady_s: float = 10.0
    burst_s: float = 5.0
    silent_s: float = 5.0
    seed: int = 1
    wake: int = 10_000  # that speak at one instant
    around_s: float = 6.0  # the load and the probe go on so long around a wake and around time-outs


def middle(values: list[float]) -> float:
    """Their median: a round disturbed by the machine counts for as little as one that was lucky."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2]


class Idle:
    """The silent clients of one rig."""

    def __init__(self, rig: Rig, most: int) -> None:
        self.rig = rig
        count = max(OPENERS, -(-most // PER_PROCESS))
        pids = ",".join(map(str, rig.pids()))
        self.children = [
            rig.child("idle_clients", number, HOST, rig.port, pids, cpus={4, 5, 6, 7})
            for number in range(count)
        ]
        self.open = 0

    def _all(self, **what: Any) -> list[dict[str, Any]]:
        for child in self.children:
            child.say(**what)
        return [child.answer() for child in self.children]

    def up_to(self, count: int) -> dict[str, Any]:
        """Opens until so many are open; how fast they were accepted."""
        processes = len(self.children)
        base = descriptors(self.rig.pids())
        before, each = self.rig.usage(), -(-(count - self.open) // processes)
        # All have `have` open of their own; the pacing counts from these.
        base -= self.open
        answers = self._all(do="open", count=each, processes=processes, base=base)
        want = base + sum(answer["open"] for answer in answers)
        limit = time.monotonic() + 60
        while descriptors(self.rig.pids()) < want - 8 and time.monotonic() < limit:
            time.sleep(0.002)
        ended = time.monotonic_ns()
        after = self.rig.usage()
        opened = sum(answer["open"] for answer in answers) - self.open
        self.open += opened
        span = (ended - min(answer["start"] for answer in answers)) / 1e9
        cpu = after[0].cpu_s - before[0].cpu_s
        return {
            "opened": opened,
            "failed": sum(answer["failed"] for answer in answers),
            "seconds": round(span, 3),
            "accepts_a_second": round(opened / span),
            "gatekeeper_cpu_us_each": round(cpu / opened * 1e6, 1) if opened else None,
        }

    def ask(self, part: float) -> dict[str, Any]:
        """That part of them speaks at once."""
        answers = self._all(do="ask", part=part)
        return {
            "asked": sum(answer["asked"] for answer in answers),
            "good": sum(answer["good"] for answer in answers),
            "p50_ms": max(answer["p50_ms"] or 0 for answer in answers),
            "last_ms": max(answer["last_ms"] or 0 for answer in answers),
        }

    def watch(self, left: int, seconds: float) -> list[tuple[int, int]]:
        """When those that the gatekeeper closes were opened and closed."""
        answers = self._all(do="watch", until_left=left, seconds=seconds)
        self.open = sum(answer["open"] for answer in answers)
        return [(opened, closed) for answer in answers for opened, closed in answer["closed"]]


def measured(askers: Child, plan: Plan, seed: int) -> dict[str, Any]:
    """Confirmations at the steady rate and in a burst."""
    steady = askers.ask(rate=plan.rate, seconds=plan.steady_s, seed=seed)
    burst = askers.ask(rate=plan.rate * plan.burst, seconds=plan.burst_s, seed=seed + 1)
    return {"steady": steady, "burst": burst}


def memory(usages: list[Usage]) -> int:
    """Anonymous memory of all processes in bytes."""
    return sum(one.anonymous for one in usages)


def step(plan: Plan, count: int, holders: int, say: Say) -> dict[str, Any]:
    """One number of silent connections, on a gatekeeper of its own."""
    clients = CLIENTS | {"most": count + 2000, "most_asking": 1000, "holders": holders}
    clients |= {"most_here": HERE} if holders else {}
    with Rig(clients) as rig:
        askers = rig.child("askers", HOST, rig.port, cpus={2})
        probe = rig.child("askers", HOST, rig.port, cpus={3})
        say(f"{count}: without silent connections")
        askers.ask(rate=plan.rate * plan.burst, seconds=2, seed=99)  # caches and pools fill
        without = measured(askers, plan, plan.seed)
        idle = Idle(rig, count)
        time.sleep(1.0)
        user, kernel = rig.usage(), kernel_bytes()
        say(f"{count}: opening")
        opened = idle.up_to(count)
        if opened["failed"]:
            raise RigError(f"{opened['failed']} of {count} connections could not be opened")
        time.sleep(1.5)
        user_with, kernel_with = rig.usage(), kernel_bytes()
        say(f"{count}: all silent")
        time.sleep(1.0)
        quiet = rig.usage()
        time.sleep(plan.silent_s)
        quiet_after = rig.usage()
        say(f"{count}: confirmations beside them")
        beside = measured(askers, plan, plan.seed)
        say(f"{count}: {min(plan.wake, idle.open)} wake at one instant")
        probe.say(rate=200, seconds=plan.around_s, seed=1, ready=True)
        askers.say(rate=plan.rate, seconds=plan.around_s, seed=7)
        time.sleep(min(1.0, plan.around_s / 4))
        woken = idle.ask(min(1.0, plan.wake / idle.open))
        during, probed = askers.answer(), probe.answer()
        time.sleep(2.5)
        say(f"{count}: parked again")
        parked_again = rig.usage()
        say(f"{count}: all time-outs fall due at once")
        probe.say(rate=200, seconds=plan.around_s, seed=1, ready=True)
        time.sleep(min(0.5, plan.around_s / 4))
        due = time.monotonic_ns()
        rig.reload(clients | {"idle_s": 1, "first_byte_s": 1})
        closed = idle.watch(0, 30)
        stall = probe.answer()
        lateness = sorted((at - due) / 1e6 for _, at in closed)
        growth = memory(user_with) - memory(user)
        return {
            "connections": count,
            "holders": holders,
            "opened": opened,
            "user_bytes_each": round(growth / count, 1),
            "user_bytes_each_here": round((user_with[0].anonymous - user[0].anonymous) / count, 1),
            "user_bytes_each_after_a_wake": round((memory(parked_again) - memory(user)) / count, 1),
            "kernel_bytes_each_both_ends": round((kernel_with - kernel) / count),
            "descriptors": [one.descriptors for one in user_with],
            "silent_cpu_ms_a_second": round(
                sum(b.cpu_s - a.cpu_s for a, b in zip(quiet, quiet_after, strict=True))
                / plan.silent_s
                * 1000,
                2,
            ),
            "without": without,
            "beside": beside,
            "ratio_p99_steady": round(beside["steady"]["p99_ms"] / without["steady"]["p99_ms"], 3),
            "ratio_p99_burst": round(beside["burst"]["p99_ms"] / without["burst"]["p99_ms"], 3),
            "wake": woken
            | {"confirmations": during, "probe_p99_ms": probed["p99_ms"], "probe_most_ms": probed["most_ms"]},
            "due_together": {
                "closed": len(closed),
                "p50_ms": lateness[len(lateness) // 2] if lateness else None,
                "p99_ms": lateness[len(lateness) * 99 // 100] if lateness else None,
                "last_ms": lateness[-1] if lateness else None,
                "probe_most_ms": stall["most_ms"],
            },
            "lines": rig.lines,
        }


def timeouts(
    count: int, clients: dict[str, Any] | None, first_byte_s: float, say: Say, after_s: float = 6.0
) -> dict[str, Any]:
    """Connections that never say anything, opened as fast as they are accepted: when each is closed.

    Without a clients' file (None) the gatekeeper's own times and sweep hold, to compare with.
    """
    given = None if clients is None else clients | {"first_byte_s": first_byte_s, "most": count + 2000}
    with Rig(given) as rig:
        probe = rig.child("askers", HOST, rig.port, cpus={3})
        probe.ask(rate=200, seconds=1, seed=1, ready=True)
        idle = Idle(rig, count)
        say(f"time-outs of {count}{'' if clients else ', as without a clients file'}")
        probe.say(rate=200, seconds=first_byte_s + after_s, seed=1, ready=True)
        opened = idle.up_to(count)
        closed = idle.watch(0, first_byte_s + 20)
        stall = probe.answer()
    late = sorted((ended - began) / 1e6 - first_byte_s * 1000 for began, ended in closed)
    return {
        "connections": count,
        "parked": clients is not None,
        "opened": opened,
        "closed": len(closed),
        "early": sum(one < 0 for one in late),
        "lateness_ms": {
            "least": late[0],
            "p50": late[len(late) // 2],
            "p99": late[len(late) * 99 // 100],
            "most": late[-1],
        }
        if late
        else None,
        "probe_most_ms": stall["most_ms"],
        "probe_p99_ms": stall["p99_ms"],
    }


def run(plan: Plan, holders: int, say: Say) -> dict[str, Any]:
    """All steps, and what was found: at which number confirmations first suffer."""
    steps = []
    for count in plan.steps:
        needed = 0 if count <= HERE else max(holders, -(-(count - HERE * 3 // 4) // 19_000))
        steps.append(step(plan, count, needed, say))
    suffers = next(
        (
            one["connections"]
            for one in steps
            if max(one["ratio_p99_steady"], one["ratio_p99_burst"]) > SUFFERS
        ),
        None,
    )
    return {
        "plan": {name: getattr(plan, name) for name in plan.__slots__},
        "steps": steps,
        "suffers": suffers,
    }


def table(found: dict[str, Any]) -> str:
    """For people: a line a step."""
    lines = [
        "silent  holders  bytes each  kernel, both ends  CPU ms/s  accepts/s  p99 steady  p99 burst"
        "  wake: last, p99 beside  due at once: p99, stall"
    ]
    for one in found["steps"]:
        wake, due = one["wake"], one["due_together"]
        lines.append(
            f"{one['connections']:6}  {one['holders']:7}  {one['user_bytes_each']:10.0f}"
            f"  {one['kernel_bytes_each_both_ends']:17}  {one['silent_cpu_ms_a_second']:8.2f}"
            f"  {one['opened']['accepts_a_second']:9}  {one['ratio_p99_steady']:9.2f}x"
            f"  {one['ratio_p99_burst']:8.2f}x"
            f"  {wake['last_ms']:8.0f} ms, {wake['confirmations']['p99_ms']:5.0f} ms"
            f"  {due['p99_ms']:10.0f} ms, {due['probe_most_ms']:.0f} ms"
        )
    suffers = found["suffers"]
    where = f"from {suffers} on" if suffers else "at none of these"
    return "\n".join([*lines, f"confirmations suffer (p99 over {SUFFERS} times) {where}"])


def accepts(count: int, rounds: int, say: Say) -> dict[str, Any]:
    """Accepts a second, without and with a clients' file in turn."""
    found: dict[str, list[dict[str, Any]]] = {"before": [], "after": []}
    for number in range(rounds):
        for name, clients in (("before", None), ("after", CLIENTS | {"most": count + 2000})):
            say(f"accepts, {name}, round {number + 1}")
            with Rig(clients) as rig:
                idle = Idle(rig, count)
                found[name].append(idle.up_to(count))
    medians = {
        name: middle([one["accepts_a_second"] for one in rounds_of]) for name, rounds_of in found.items()
    }
    return found | {"ratio": round(medians["after"] / medians["before"], 2), "median": medians}
