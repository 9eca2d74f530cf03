"""One run of a scenario with real processes, and the record of what was observed."""

from __future__ import annotations

import json
import threading
import time
from pathlib import Path
from typing import Any

import msgspec

from pepperrun.bench.rig import ROOT, RigError
from pepperrun.lab.fault_injection import CONDITION_S, FaultInjector, Say
from pepperrun.lab.load import load_of
from pepperrun.lab.processes import Processes, readable
from pepperrun.lab.scenario import Scenario

LEAD_S = 0.5  # between the last start and the load
POLL_S = 0.2  # between two questions for events
TAIL_S = 0.5  # after the clients' end
BUSY_MS = 250.0  # worst lateness of the clients above which the machine was too busy for a verdict
CLIENTS_LIMIT_S = 60  # for the clients to end after the last fault
START_S = 6.0  # for the members to hold one view before the load begins


class Seen(msgspec.Struct):
    """All that a run observed. Times are in ns since the load's start, on the monotonic clock."""

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
        """Whether the machine was too busy for a verdict."""
        return self.late_ms > BUSY_MS


class Watcher(threading.Thread):
    """Collects the membership events of all gatekeepers during the run."""

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
        """Asks each gatekeeper once."""
        for one in [*self.processes.gatekeepers, *self.processes.twins]:
            key = (one.name, one.admin)
            table = one.ask(f"members since {self.seen.get(key, 0)}")
            for event in (table or {}).get("events", []):
                self.seen[key] = max(self.seen.get(key, 0), event["at"])
                self.events.append({"who": one.name} | event)


class Run:
    """Plays a scenario with real processes."""

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
        self.processes = Processes(scenario, seed, root, keep, shared)
        self.injector = FaultInjector(scenario, seed, self.processes, say, self.stopped)
        self.crashed: list[str] = []

    def run(self) -> Seen:
        """Starts the processes, plays the scenario and returns what was observed."""
        scenario = self.scenario
        with self.processes as processes:
            self.say("starting")
            watcher = Watcher(processes)
            if scenario.fleet.members:
                self._gather(START_S)
                watcher.start()
            clients = processes.clients(load_of(scenario, self.seed))
            start = time.monotonic_ns() + int(LEAD_S * 1e9)
            clients.say(start=start)
            self.injector.run(start)
            self.say("waiting for the last answers")
            limit = time.monotonic() + CLIENTS_LIMIT_S
            while not readable(clients, 0.5):
                if time.monotonic() > limit or self.stopped.is_set():
                    raise RigError("the clients did not end")
            answer = clients.answer()
            time.sleep(TAIL_S)
            self.injector.join()
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
        start = self.injector.start
        for row in answer["tries"]:
            row[3], row[4] = row[3] - start, row[4] - start if row[4] else 0
        for row in log["arrivals"]:
            row[0], row[9] = row[0] - start, row[9] - start if row[9] else 0
        for rows in (log["starts"], log["told"]):
            for row in rows:
                row[0] -= start
        for event in events:
            event["at"] -= start
        for fault in self.injector.faults:
            fault["at"] -= start
        for down in self.injector.downs:
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
            self.injector.faults,
            self.injector.downs,
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
            code = one.process.poll() if one.process is not None else None
            if code is not None and not self.injector.is_down(one.name):
                self.crashed.append(f"{one.name} ended with {code}")


def save(seen: Seen, path: Path) -> None:
    """Writes the record of a run."""
    path.write_bytes(msgspec.json.encode(seen))


def load(path: Path) -> Seen:
    """Reads the record of a run; raises ValueError for any other file."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Seen)
    except msgspec.MsgspecError as error:
        raise ValueError(f"{path}: {error}") from None
    except json.JSONDecodeError as error:
        raise ValueError(f"{path}: {error}") from None
