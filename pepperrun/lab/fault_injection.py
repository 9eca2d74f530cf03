"""Injects a scenario's faults into the processes of a run, and records when each began and ended."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections.abc import Callable
from typing import Any

from pepperrun.bench.rig import RigError
from pepperrun.lab.processes import Gatekeeper, Processes
from pepperrun.lab.scenario import Fault, Scenario, chosen, names_of, workers_of

CONDITION_S = 0.05  # between two looks at a condition
ROTATION_STEP_S = 1.5  # between two steps of a key rotation
STARVE_PERIOD_S = 0.1  # of which a starved process stands still for a share
DRAIN_LIMIT_S = 30  # after the load's end, for faults that are still due
THREAD_LIMIT_S = 30  # for each background task to end
Say = Callable[[str], None]


class FaultInjector:
    """Runs the script of faults. Times are in seconds since the load's start, unless a name says otherwise.

    Attributes
    ----------
    faults
        What was done, with its time in monotonic ns.
    downs
        Of each time that a gatekeeper was down: its name, from, until (monotonic ns; 0: still), and how.
    """

    def __init__(
        self, scenario: Scenario, seed: int, processes: Processes, say: Say, stopped: threading.Event
    ) -> None:
        self.scenario, self.processes, self.say, self.stopped = scenario, processes, say, stopped
        self.random = random.Random(seed)
        self.faults: list[dict[str, Any]] = []
        self.downs: list[list[Any]] = []
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.order = 0
        self.start = 0  # of the load, monotonic ns
        self.threads: list[threading.Thread] = []

    def run(self, start: int) -> None:
        """Injects all faults; returns at the scenario's end. Raises RigError if the run is stopped."""
        self.start = start
        for fault in self.scenario.fault:
            self._plan(fault)
        self._play()

    def join(self) -> None:
        """Waits for the background tasks."""
        for thread in self.threads:
            thread.join(THREAD_LIMIT_S)

    def is_down(self, name: str) -> bool:
        """Whether a fault holds this gatekeeper down."""
        return any(down[0] == name and down[2] == 0 for down in self.downs)

    def _schedule(self, when: float, what: Callable[[], None]) -> None:
        self.order += 1
        self.due.append((when, self.order, what))
        self.due.sort()

    def _now(self) -> float:
        return (time.monotonic_ns() - self.start) / 1e9

    def _plan(self, fault: Fault) -> None:
        if fault.when is None:
            for turn in range(fault.times):
                self._schedule(fault.at + turn * fault.each_s, lambda: self._inject(fault))
        else:
            self._schedule(0.0, lambda: self._await_condition(fault))

    def _await_condition(self, fault: Fault) -> None:
        if self._condition_holds(fault):
            self._schedule(self._now() + fault.at, lambda: self._inject(fault))
        elif self._now() < self.scenario.seconds:
            self._schedule(self._now() + CONDITION_S, lambda: self._await_condition(fault))

    def _condition_holds(self, fault: Fault) -> bool:
        when = fault.when
        assert when is not None
        table = self._gatekeeper(when.at).ask("members")
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
            elif now >= end and (not self.due or self.due[0][0] > end + DRAIN_LIMIT_S):
                return
            else:
                until = min(self.due[0][0], now + 1) if self.due else end
                self.stopped.wait(max(0.001, until - now))

    def _gatekeeper(self, name: str) -> Gatekeeper:
        return self.processes.gatekeepers[int(name[1:])]

    def _record(self, fault: Fault, names: list[str], on: bool = True, **more: Any) -> None:
        self.say(f"{self._now():6.2f} s {fault.what} {'' if on else 'ends '}{' '.join(names)}")
        self.faults.append({"at": time.monotonic_ns(), "what": fault.what, "names": names, "on": on} | more)

    def _in_background(self, what: Callable[[], None]) -> None:
        thread = threading.Thread(target=what, daemon=True)
        self.threads.append(thread)
        thread.start()

    def _mark_down(self, name: str, how: str) -> None:
        self.downs.append([name, time.monotonic_ns(), 0, how])

    def _mark_up(self, name: str) -> None:
        for down in self.downs:
            if down[0] == name and down[2] == 0:
                down[2] = time.monotonic_ns()

    def _start(self, name: str, called: str = "") -> None:
        one = self._gatekeeper(name)
        if one.up():  # two faults overlap, and the other one has brought it back
            return
        if one.draining():  # it still has the ports
            self._schedule(self._now() + CONDITION_S, lambda: self._start(name, called))
            return
        one.start(called)

        def wait() -> None:
            if one.ready():
                self._mark_up(name)

        self._in_background(wait)

    def _inject(self, fault: Fault) -> None:
        fleet = self.scenario.fleet
        names = chosen(fault.names, fleet, self.random)
        if fault.what in ("cut", "path"):
            self._disturb_network(fault)
            return
        if fault.what.startswith("worker_"):
            names = names or workers_of(fleet)
            numbers = [int(name[1:]) for name in names]
            factor = 1.0 + 10 * fault.share
            self.processes.workers.ask(
                do="hit", what=fault.what, numbers=numbers, for_s=fault.for_, factor=factor
            )
            self._record(fault, names)
            return
        self._record(fault, names)
        if fault.what == "rotate":
            self._rotate(0)
        elif fault.what == "lists_late":
            self.processes.workers.ask(do="late", late_s=fault.for_ or fleet.lists_late_s)
        elif fault.what == "starve":
            self._starve(fault, names)
        else:
            for name in names:
                self._inject_into(fault, name)

    def _inject_into(self, fault: Fault, name: str) -> None:
        one = self._gatekeeper(name)
        after = self._now() + fault.for_
        if fault.what in ("kill", "stop", "clock", "rename"):
            self._mark_down(name, fault.what)
            one.stop() if fault.what == "stop" else one.kill()
            if fault.what == "clock":
                one.clock = f"{fault.offset_s:g}"
            called = fault.to[0] if fault.what == "rename" else ""  # it comes back with that one's name
            if fault.for_ > 0 or fault.what in ("clock", "rename"):
                self._schedule(after, lambda: self._start(name, called))
        elif fault.what == "pause":
            self._mark_down(name, "pause")
            one.pause(True)
            self._schedule(after, lambda: self._resume(fault, name))
        elif fault.what == "start":
            self._start(name)
        elif fault.what == "twin":
            self.processes.twin(one.number)
        elif fault.what == "replace":
            self._in_background(one.replace())

    def _resume(self, fault: Fault, name: str) -> None:
        self._record(fault, [name], False)
        self._gatekeeper(name).pause(False)
        self._mark_up(name)

    def _rotate(self, step: int) -> None:
        """Changes the key file step by step; after each step all gatekeepers reload it."""
        self.processes.rotate_key(step)
        for one in self.processes.gatekeepers:
            if one.process is not None and one.up():
                one.process.send_signal(signal.SIGHUP)
        if step < 2:
            self._schedule(self._now() + ROTATION_STEP_S, lambda: self._rotate(step + 1))

    def _starve(self, fault: Fault, names: list[str]) -> None:
        """Gives processes little processor time: each is paused for `share` of each period."""
        end = time.monotonic() + fault.for_

        def choke() -> None:
            while time.monotonic() < end:
                for name in names:
                    self._gatekeeper(name).pause(True)
                time.sleep(STARVE_PERIOD_S * fault.share)
                for name in names:
                    self._gatekeeper(name).pause(False)
                time.sleep(STARVE_PERIOD_S * (1 - fault.share))

        self._in_background(choke)

    def _disturb_network(self, fault: Fault) -> None:
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
        self._record(fault, some, True, others=others, pairs=pairs, links=links)
        if fault.for_ > 0:
            self._schedule(
                self._now() + fault.for_, lambda: self._restore_network(fault, some, pairs, links, list(what))
            )

    def _restore_network(
        self, fault: Fault, some: list[str], pairs: list[list[int]], links: list[list[int]], keys: list[str]
    ) -> None:
        self.processes.relay.ask(do="set", pairs=pairs, links=links, what=dict.fromkeys(keys, 0.0))
        self._record(fault, some, False, pairs=pairs, links=links)
