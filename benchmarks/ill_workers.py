"""What ill workers cost one region of a grown fleet, the decisions alone, with outcomes shared and without.

    python3 benchmarks/ill_workers.py [--seeds N] [--rate R] [--part P] [KIND ...]

27 gatekeepers in three zones send R requests a second each: half of them may repeat and go to `wide` (25
workers), a fifth may not and go to `narrow` (10), the others to `mixed` (20), half of which may repeat.
From the fourth second on a part P of each service's workers is ill for 6.5 s. Prints the share of requests
that were served in time from then until 2 s after, and how many of the attempts were further ones.
"""

from __future__ import annotations

import argparse
import heapq
import random
import sys
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from itertools import count
from pathlib import Path
from typing import Any

sys.path[:0] = [str(Path(__file__).resolve().parent.parent)]

from pepperrun.core.gateway import Gateway  # noqa: E402
from pepperrun.core.interface import (  # noqa: E402
    AttemptEnded,
    AttemptSuspected,
    Backend,
    BackendList,
    Event,
    ListKind,
    Outcome,
    Request,
    Send,
    SetTimer,
    TimerFired,
)
from pepperrun.dataplane.answer_times import AnswerTime  # noqa: E402
from pepperrun.dataplane.ejection import FailureRecord, OutlierEjection  # noqa: E402
from pepperrun.dataplane.numbering import Numbering  # noqa: E402
from pepperrun.foundation.settings import Bounds  # noqa: E402

MS, SECOND = 1_000_000, 1_000_000_000
ZONES, EACH = 3, 9
SLOTS, WAITS = 6, 8  # of a worker: requests at once, and more that wait there
SERVICES = {"wide": 25, "narrow": 10, "mixed": 20}
KINDS = {  # name: repeatable, service, share, mean work in ms, aim, deadline
    "read": (True, "wide", 0.5, 310, 1200, 5000),
    "book": (False, "narrow", 0.2, 407, 1522, 6000),
    "cancel": (False, "mixed", 0.15, 222, 806, 3000),
    "fetch": (True, "mixed", 0.15, 1210, 4032, 15000),
}
FROM, FOR, END = 4 * SECOND, int(6.5 * SECOND), 14 * SECOND
TROUBLES = {  # name: part of the requests that fail, how
    "none": (0.0, "errors"),
    "errors": (0.45, "errors"),
    "lying": (1.0, "errors"),
    "hang": (0.45, "hang"),
    "dead": (1.0, "hang"),
    "slow": (1.0, "slow"),
    "spoilt": (0.03, "errors"),
}


class Gate:
    """Only what the ejection says."""

    def __init__(self, ejection: OutlierEjection | None) -> None:
        self.ejection, self.safe_at = ejection, dict[int, int]()

    def wait_ns(self, gate_context: object, now: int) -> int:
        return 0

    def may_send(self, gate_context: tuple[int, bool], backend: int, now: int) -> bool:
        safe = gate_context[1] or now - self.safe_at.get(gate_context[0], -5 * SECOND) >= 5 * SECOND
        return self.ejection is None or self.ejection.may_send(backend, now, safe)

    def on_sent(self, gate_context: tuple[int, bool], backend: int, now: int) -> None:
        if gate_context[1]:
            self.safe_at[gate_context[0]] = now
        if self.ejection is not None:
            self.ejection.on_sent(backend, now)


class Day:
    """One run."""

    def __init__(self, trouble: str, seed: int, rate: float, part: float, shares: bool) -> None:
        self.rng, self.now, self.order = random.Random(seed), 0, count()
        self.fails, self.how = TROUBLES[trouble]
        self.agenda: list[tuple[int, int, Callable[[], None]]] = []
        self.rate, self.shares = rate, shares
        self.numbering = Numbering(Bounds(retry_ratio=0.2, retry_slack=208))
        self.numbering.agreed_gateways = self.numbering.gateways = 84
        self.classes = {}
        for name, (safe, service, _, _, aim, _) in KINDS.items():
            line = self.numbering.service_number(service)
            self.numbering.allow_attempts(2)
            self.classes[name] = self.numbering.class_number(line, safe, aim * MS)
        self.rows, self.of, self.ill = list[Backend](), dict[int, list[int]](), set[int]()
        for service, number in SERVICES.items():
            line = self.numbering.service_number(service)
            own = [self.rng.getrandbits(32) for _ in range(number)]
            self.of |= {one: own for one in own}
            self.rows += [Backend(one, at % ZONES, service=line) for at, one in enumerate(own)]
            self.ill |= set(self.rng.sample(own, round(part * number)))
        self.gates: list[Gate] = []
        self.nodes: list[Gateway] = []
        self.served = self.asked = self.further = self.sends = 0
        self.timers = [0] * (ZONES * EACH)
        self.out: list[dict[tuple[int, int], tuple[int, int, int]]] = [{} for _ in self.timers]
        self.late: set[tuple[int, int, int]] = set()
        self.info: dict[int, tuple[str, int]] = {}
        self.queues: dict[int, Any] = {}  # by worker: slots taken, and what waits for one
        self.verdicts = 0
        self.answer_times: defaultdict[tuple[int, int], AnswerTime] = defaultdict(AnswerTime)
        for node in range(ZONES * EACH):
            ejection = (
                OutlierEjection(lambda one: self.of[one], self.rng.random, self.left_out) if shares else None
            )
            if ejection is not None:
                ejection.zone_size = EACH
            self.gates.append(Gate(ejection))
            self.nodes.append(Gateway(self.numbering.settings(), self.rng.getrandbits(32), self.gates[-1]))
            zone = node // EACH
            rows = [
                Backend(b.id, b.zone, service=b.service, distance_factor=1.0 if b.zone == zone else 1.02)
                for b in self.rows
            ]
            self.tell(node, BackendList(ListKind.DELTA, tuple(rows)))
            self.at(self.rng.expovariate(rate), lambda node=node: self.ask(node))
        self.at(0.05, self.rounds)

    def left_out(self, worker: int, chart: FailureRecord) -> None:
        self.verdicts += 1

    def at(self, seconds: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.agenda, (self.now + int(seconds * SECOND), next(self.order), what))

    def play(self) -> None:
        while self.agenda and self.agenda[0][0] < END:
            self.now, _, what = heapq.heappop(self.agenda)
            what()

    def ask(self, node: int) -> None:
        self.at(self.rng.expovariate(self.rate), lambda: self.ask(node))
        name = self.rng.choices(list(KINDS), [row[2] for row in KINDS.values()])[0]
        safe, service, _, _, _, deadline = KINDS[name]
        line, id = self.numbering.service_number(service), next(self.order)
        self.info[id] = name, self.now
        self.asked += FROM <= self.now < FROM + FOR + 2 * SECOND
        self.tell(
            node,
            Request(id, 1, 0, self.classes[name], deadline * MS, service=line, gate_context=(line, safe)),
        )

    def tell(self, node: int, event: Event) -> None:
        for action in self.nodes[node].handle(self.now + SECOND, [event]):
            if isinstance(action, Send):
                self.send(node, action)
            elif isinstance(action, SetTimer):
                self.at(action.delay_ns / SECOND, lambda: self.tell(node, TimerFired(0)))

    def send(self, node: int, send: Send) -> None:
        number = 0
        while (send.request, number) in self.out[node] or (node, send.request, -1 - number) in self.late:
            number += 1
        self.late.add((node, send.request, -1 - number))  # numbers are used once
        self.out[node][send.request, number] = self.now, send.backend, send.timeout_ns
        self.sends, self.further = self.sends + 1, self.further + (number > 0)
        work_ms = KINDS[self.info[send.request][0]][3]
        takes, outcome = work_ms / 1000 * min(5.0, self.rng.lognormvariate(-0.08, 0.4)), Outcome.OK
        struck = FROM <= self.now < FROM + FOR and send.backend in self.ill
        if struck and self.rng.random() < self.fails:
            if self.how == "errors":
                takes, outcome = 0.01, Outcome.ERROR
            else:
                takes = takes * 8 if self.how == "slow" else 1e9
        self.at(send.timeout_ns / SECOND, lambda: self.end(node, send.request, number, Outcome.TIMEOUT))
        if takes > END:
            return
        queue = self.queues.setdefault(send.backend, [0, deque()])
        if queue[0] < SLOTS:
            self.begin(queue, takes, lambda: self.end(node, send.request, number, outcome))
        elif len(queue[1]) < WAITS:
            queue[1].append((takes, lambda: self.end(node, send.request, number, outcome)))
        else:
            self.at(0.001, lambda: self.end(node, send.request, number, Outcome.FULL))

    def begin(self, queue: Any, takes: float, over: Callable[[], None]) -> None:
        """A worker's slot is taken; the next one that waits for one follows."""

        def done() -> None:
            over()
            queue[0] -= 1
            if queue[1]:
                self.begin(queue, *queue[1].popleft())

        queue[0] += 1
        self.at(takes, done)

    def end(self, node: int, request: int, number: int, outcome: Outcome) -> None:
        sent, backend, _ = self.out[node].pop((request, number), (0, 0, 0))
        if not backend:
            return
        name, asked = self.info[request]
        ejection = self.gates[node].ejection
        if ejection is not None:
            if outcome is Outcome.OK:
                self.answer_times[node, self.classes[name]].add(self.now - sent)
            told = outcome in (Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT)
            if told and (node, request, number) not in self.late:
                ejection.record_own(backend, outcome is Outcome.OK, self.now)
        in_time = outcome is Outcome.OK and self.now - asked <= KINDS[name][4] * MS
        self.served += in_time and FROM <= asked < FROM + FOR + 2 * SECOND
        elapsed = self.now - sent
        self.tell(node, AttemptEnded(request, number, backend, outcome, elapsed, outcome is Outcome.OK))
        for other in [key for key in self.out[node] if key[0] == request and outcome is Outcome.OK]:
            self.end(node, *other, Outcome.CANCELLED)

    def rounds(self) -> None:
        self.at(0.05, self.rounds)
        for node, gate in enumerate(self.gates):
            ejection = gate.ejection
            if ejection is None:
                continue
            running_ns: Counter[int] = Counter()
            for (request, _), (sent, _, _) in self.out[node].items():
                running_ns[self.classes[self.info[request][0]]] += self.now - sent
            for (request, number), (sent, backend, _) in list(self.out[node].items()):
                name = self.info[request][0]
                cls = self.classes[name]
                if self.now - sent > self.answer_times[node, cls].late_ns(running_ns[cls]):
                    if (node, request, number) not in self.late:
                        self.late.add((node, request, number))
                        ejection.record_own(backend, False, self.now)
                    if ejection.is_ejected(backend, self.now) and KINDS[name][0]:
                        self.tell(node, AttemptSuspected(request, number))
            counts = ejection.take_unreported()
            zone = node // EACH * EACH
            for other in range(zone, zone + EACH) if counts else ():
                mate = self.gates[other].ejection
                if other != node and mate is not None:
                    mate.record_reported(node + 1, counts, self.now)


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--rate", type=float, default=12.0)
    parser.add_argument("--part", type=float, default=0.12)
    parser.add_argument("kinds", nargs="*", default=list(TROUBLES))
    options = parser.parse_args()
    for kind in options.kinds:
        for shares in (False, True):
            served = asked = further = sends = verdicts = 0
            for seed in range(options.seeds):
                day = Day(kind, seed, options.rate, options.part, shares)
                day.play()
                served, asked = served + day.served, asked + day.asked
                further, sends = further + day.further, sends + day.sends
                verdicts += day.verdicts
            parts = f"in time {served / asked:.4f} further {further / sends:.4f} verdicts {verdicts}"
            print(f"{kind:7} shared={shares!s:5} {parts}", flush=True)


if __name__ == "__main__":
    main()
