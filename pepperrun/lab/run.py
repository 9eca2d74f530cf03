"""One run of a scenario with real processes: the script of faults, and what was seen."""

from __future__ import annotations

import json
import random
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from pepperrun.bench.rig import ROOT, RigError
from pepperrun.lab.load import load_of
from pepperrun.lab.processes import Gatekeeper, Processes, readable
from pepperrun.lab.scenario import Fault, Scenario, chosen, names_of, workers_of

LEAD_S = 0.5
POLL_S = 0.2
CONDITION_S = 0.05
TAIL_S = 0.5
BUSY_MS = 250.0  # clients were so late at worst: the machine was too busy to say anything
START_S = 6.0  # for a fleet to be one before the load begins
Say = Callable[[str], None]


class Seen(msgspec.Struct):
    """All that a run saw. Times in ns since the load's start, on the machine's monotonic clock."""

    scenario: Scenario
    seed: int
    load: list[list[Any]]
    tries: list[list[int]]
    extra: int
    arrivals: list[list[int]]
    starts: list[list[int]]
    told: list[list[int]]
    events: list[dict[str, Any]]  # at, who, what, member, by, detail
    faults: list[dict[str, Any]]  # at, what, names, on
    downs: list[list[Any]]  # gatekeeper, from, until, how
    final: dict[str, Any]
    exits: dict[str, list[int]]
    relay: dict[str, int]
    late_ms: float
    crashed: list[str]
    ends_at: int = 0

    @property
    def busy(self) -> bool:
        """The machine was too busy for the run to say anything."""
        return self.late_ms > BUSY_MS


class Watcher(threading.Thread):
    """Collects what the gatekeepers say has happened, while the run goes on."""

    def __init__(self, processes: Processes) -> None:
        super().__init__(daemon=True)
        self.processes = processes
        self.events: list[dict[str, Any]] = []
        self.seen: dict[tuple[str, int], int] = {}
        self.stopped = threading.Event()

    def run(self) -> None:
        while not self.stopped.wait(POLL_S):
            self.look()

    def look(self) -> None:
        """Asks each once."""
        for one in [*self.processes.gatekeepers, *self.processes.twins]:
            key = (one.name, one.admin)
            table = one.ask(f"members since {self.seen.get(key, 0)}")
            for event in (table or {}).get("events", []):
                self.seen[key] = max(self.seen.get(key, 0), event["at"])
                self.events.append({"who": one.name} | event)


class Run:
    """Plays a scenario."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        root: Path = ROOT,
        say: Say = lambda text: None,
        keep: Path | None = None,
        shared: bool = False,
        stopped: threading.Event | None = None,
        settle_s: float = 0.0,
    ) -> None:
        """`settle_s`: how long to wait at the end until all that are up hold one view, on a busy machine."""
        self.settle_s = settle_s
        self.stopped = stopped or threading.Event()  # of all runs: who interrupts the lab sets it
        self.scenario, self.seed, self.say = scenario, seed, say
        self.random = random.Random(seed)
        self.processes = Processes(scenario, seed, root, keep, shared)
        self.faults: list[dict[str, Any]] = []
        self.downs: list[list[Any]] = []
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.order = 0
        self.start = 0
        self.threads: list[threading.Thread] = []
        self.crashed: list[str] = []

    def run(self) -> Seen:
        """From the first process to the last one's end."""
        scenario = self.scenario
        with self.processes as processes:
            self.say("starting")
            watcher = Watcher(processes)
            if scenario.fleet.members:
                self._gather(START_S)
                watcher.start()
            clients = processes.clients(load_of(scenario, self.seed))
            self.start = time.monotonic_ns() + int(LEAD_S * 1e9)
            clients.say(start=self.start)
            for fault in scenario.fault:
                self._plan(fault)
            self._play()
            self.say("waiting for the last answers")
            limit = time.monotonic() + 60
            while not readable(clients, 0.5):
                if time.monotonic() > limit or self.stopped.is_set():
                    raise RigError("the clients did not end")
            answer = clients.answer()
            time.sleep(TAIL_S)
            for thread in self.threads:
                thread.join(30)
            if scenario.fleet.members:
                self._gather(self.settle_s)
            final = {one.name: one.ask("members") for one in processes.gatekeepers}
            watcher.stopped.set()
            if scenario.fleet.members:
                watcher.join(10)
                watcher.look()
            ends_at = time.monotonic_ns()
            self._note_crashes()
            log = processes.workers.ask(do="log")
            relay = processes.relay.ask(do="counts")
        exits = {one.name: one.exits for one in processes.gatekeepers}
        return self._seen(answer, log, watcher.events, final, exits, relay, ends_at)

    def _seen(
        self,
        answer: dict[str, Any],
        log: dict[str, Any],
        events: list[dict[str, Any]],
        final: dict[str, Any],
        exits: dict[str, list[int]],
        relay: dict[str, int],
        ends_at: int,
    ) -> Seen:
        start = self.start
        for row in answer["tries"]:
            row[3], row[4] = row[3] - start, row[4] - start if row[4] else 0
        for row in log["arrivals"]:
            row[0], row[9] = row[0] - start, row[9] - start if row[9] else 0
        for rows in (log["starts"], log["told"]):
            for row in rows:
                row[0] -= start
        for event in events:
            event["at"] -= start
        for fault in self.faults:
            fault["at"] -= start
        for down in self.downs:
            down[1] -= start
            down[2] = down[2] - start if down[2] else ends_at - start
        return Seen(
            self.scenario,
            self.seed,
            load_of(self.scenario, self.seed),
            answer["tries"],
            answer["extra"],
            log["arrivals"],
            log["starts"],
            log["told"],
            sorted(events, key=lambda one: one["at"]),
            self.faults,
            self.downs,
            final,
            exits,
            relay,
            answer["late_ms"],
            self.crashed,
            ends_at - start,
        )

    def _gather(self, timeout_s: float) -> None:
        """Waits until all that have been started hold one view of themselves, at most for the time-out."""
        wanted = {one.number for one in self.processes.gatekeepers if one.up()}
        limit = time.monotonic() + timeout_s
        while time.monotonic() < limit:
            tables = [one.ask("members") for one in self.processes.gatekeepers if one.up()]
            good = [t for t in tables if t is not None and set(t["view"]["members"]) == wanted]
            if len(good) == len(wanted) and len({t["view"]["digest"] for t in good}) == 1:
                return
            time.sleep(CONDITION_S)

    def _note_crashes(self) -> None:
        for one in self.processes.gatekeepers:
            if one.process is not None and one.process.poll() is not None and not self._down(one.name):
                self.crashed.append(f"{one.name} ended with {one.process.returncode}")

    def _down(self, name: str) -> bool:
        return any(down[0] == name and down[2] == 0 for down in self.downs)

    # The script.

    def _at(self, when: float, what: Callable[[], None]) -> None:
        """`when`: seconds since the load's start."""
        self.order += 1
        self.due.append((when, self.order, what))
        self.due.sort()

    def _now(self) -> float:
        return (time.monotonic_ns() - self.start) / 1e9

    def _plan(self, fault: Fault) -> None:
        if fault.when is None:
            for turn in range(fault.times):
                self._at(fault.at + turn * fault.each_s, lambda: self._hit(fault))
        else:
            self._at(0.0, lambda: self._look_for(fault))

    def _look_for(self, fault: Fault) -> None:
        if self._holds(fault):
            self._at(self._now() + fault.at, lambda: self._hit(fault))
        elif self._now() < self.scenario.seconds:
            self._at(self._now() + CONDITION_S, lambda: self._look_for(fault))

    def _holds(self, fault: Fault) -> bool:
        when = fault.when
        assert when is not None
        table = self._one(when.at).ask("members")
        if table is None:
            return False
        if when.members:
            return len(table["view"]["members"]) == when.members
        return bool(table["members"][int(when.member[1:])]["state"] == when.state)

    def _play(self) -> None:
        end = self.scenario.seconds
        while True:
            now = self._now()
            if self.stopped.is_set():
                raise RigError("stopped")
            if self.due and self.due[0][0] <= now:
                self.due.pop(0)[2]()
            elif now >= end and (not self.due or self.due[0][0] > end + 30):
                return
            else:
                until = min(self.due[0][0], now + 1) if self.due else end
                self.stopped.wait(max(0.001, until - now))

    def _one(self, name: str) -> Gatekeeper:
        return self.processes.gatekeepers[int(name[1:])]

    def _noted(self, fault: Fault, names: list[str], on: bool = True, **more: Any) -> None:
        self.say(f"{self._now():6.2f} s {fault.what} {'' if on else 'ends '}{' '.join(names)}")
        self.faults.append({"at": time.monotonic_ns(), "what": fault.what, "names": names, "on": on} | more)

    def _in_back(self, what: Callable[[], None]) -> None:
        thread = threading.Thread(target=what, daemon=True)
        self.threads.append(thread)
        thread.start()

    def _went_down(self, name: str, how: str) -> None:
        self.downs.append([name, time.monotonic_ns(), 0, how])

    def _came_up(self, name: str) -> None:
        for down in self.downs:
            if down[0] == name and down[2] == 0:
                down[2] = time.monotonic_ns()

    def _start(self, name: str, called: str = "") -> None:
        one = self._one(name)
        if one.up():  # two faults overlap, and the other one has brought it back
            return
        if one.draining():  # it still has the ports
            self._at(self._now() + CONDITION_S, lambda: self._start(name, called))
            return
        one.start(called)

        def wait() -> None:
            if one.ready():
                self._came_up(name)

        self._in_back(wait)

    def _hit(self, fault: Fault) -> None:
        fleet = self.scenario.fleet
        names = chosen(fault.names, fleet, self.random)
        if fault.what in ("cut", "path"):
            self._network(fault)
            return
        if fault.what.startswith("worker_"):
            names = names or workers_of(fleet)
            numbers = [int(name[1:]) for name in names]
            factor = 1.0 + 10 * fault.share
            self.processes.workers.ask(
                do="hit", what=fault.what, numbers=numbers, for_s=fault.for_, factor=factor
            )
            self._noted(fault, names)
            return
        self._noted(fault, names)
        if fault.what == "rotate":
            self._rotate(0)
        elif fault.what == "lists_late":
            self.processes.workers.ask(do="late", late_s=fault.for_ or fleet.lists_late_s)
        elif fault.what == "starve":
            self._starve(fault, names)
        else:
            for name in names:
                self._hit_one(fault, name)

    def _hit_one(self, fault: Fault, name: str) -> None:
        one = self._one(name)
        after = self._now() + fault.for_
        if fault.what in ("kill", "stop", "clock", "rename"):
            self._went_down(name, fault.what)
            one.stop() if fault.what == "stop" else one.kill()
            if fault.what == "clock":
                one.clock = f"{fault.offset_s:g}"
            called = fault.to[0] if fault.what == "rename" else ""  # it comes back with that one's name
            if fault.for_ > 0 or fault.what in ("clock", "rename"):
                self._at(after, lambda: self._start(name, called))
        elif fault.what == "pause":
            self._went_down(name, "pause")
            one.pause(True)
            self._at(after, lambda: self._resume(fault, name))
        elif fault.what == "start":
            self._start(name)
        elif fault.what == "twin":
            self.processes.twin(one.number)
        elif fault.what == "replace":
            self._in_back(one.replace())

    def _resume(self, fault: Fault, name: str) -> None:
        self._noted(fault, [name], False)
        self._one(name).pause(False)
        self._came_up(name)

    def _rotate(self, step: int) -> None:
        """The key file changes step by step, all read it anew; a few seconds lie between."""
        self.processes.rotate_key(step)
        for one in self.processes.gatekeepers:
            if one.process is not None and one.up():
                one.process.send_signal(1)
        if step < 2:
            self._at(self._now() + 1.5, lambda: self._rotate(step + 1))

    def _starve(self, fault: Fault, names: list[str]) -> None:
        """Little processor time: each stands still for `share` of every 100 ms."""
        end = time.monotonic() + fault.for_

        def choke() -> None:
            while time.monotonic() < end:
                for name in names:
                    self._one(name).pause(True)
                time.sleep(0.1 * fault.share)
                for name in names:
                    self._one(name).pause(False)
                time.sleep(0.1 * (1 - fault.share))

        self._in_back(choke)

    def _network(self, fault: Fault) -> None:
        fleet = self.scenario.fleet
        some, others = chosen(fault.from_, fleet, self.random), chosen(fault.to, fleet, self.random)
        if fault.to == ["rest"]:
            others = [name for name in names_of(fleet) if name not in some]
        pairs, links = [], []
        for one in some:
            for other in others:
                for a, b in [(one, other), (other, one)] if fault.both else [(one, other)]:
                    if a[0] == b[0] == "n" and a != b:
                        pairs.append([int(a[1:]), int(b[1:])])
                    elif a[0] != b[0]:
                        n, w = (a, b) if a[0] == "n" else (b, a)
                        links.append([int(n[1:]), int(w[1:]), int(a[0] == "w")])
        keys = ("loss", "twice", "reorder", "garble", "replay", "delay_ms", "jitter_ms", "rate")
        what = {"cut": 1.0} if fault.what == "cut" else {key: getattr(fault, key) for key in keys}
        self.processes.relay.ask(do="set", pairs=pairs, links=links, what=what)
        self._noted(fault, some, True, others=others, pairs=pairs, links=links)
        if fault.for_ > 0:
            self._at(
                self._now() + fault.for_, lambda: self._network_ends(fault, some, pairs, links, list(what))
            )

    def _network_ends(
        self, fault: Fault, some: list[str], pairs: list[list[int]], links: list[list[int]], keys: list[str]
    ) -> None:
        self.processes.relay.ask(do="set", pairs=pairs, links=links, what=dict.fromkeys(keys, 0.0))
        self._noted(fault, some, False, pairs=pairs, links=links)


def save(seen: Seen, path: Path) -> None:
    """Writes all that a run saw."""
    path.write_bytes(msgspec.json.encode(seen))


def load(path: Path) -> Seen:
    """Reads it back; ValueError where it is none."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Seen)
    except msgspec.MsgspecError as error:
        raise ValueError(f"{path}: {error}") from None
    except json.JSONDecodeError as error:
        raise ValueError(f"{path}: {error}") from None
