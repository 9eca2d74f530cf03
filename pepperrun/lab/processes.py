"""The lab's processes: gatekeepers, relay, workers, clients. None outlives the lab, whatever ends it."""

from __future__ import annotations

import contextlib
import ctypes
import json
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any

from pepperrun.admin.client import send_command
from pepperrun.bench.rig import HOST, ROOT, Child, RigError
from pepperrun.lab.load import CLASSES, application
from pepperrun.lab.ports import free_ports, ports
from pepperrun.lab.scenario import Scenario
from pepperrun.tool.commands import write

READY_S = 30.0
_PR_SET_PDEATHSIG = 1


def dies_with_us(cpus: set[int] | None = None) -> Callable[[], None]:
    """For a child before its program starts: the kernel ends it when the lab's process ends."""
    # By the thread that starts it, that is: it must not end before its children are to.
    libc, parent = ctypes.CDLL(None, use_errno=True), os.getpid()

    def before() -> None:
        libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != parent:  # it ended in between
            os._exit(1)
        if cpus:
            os.sched_setaffinity(0, cpus)

    return before


class Gatekeeper:
    """One gatekeeper of the lab, over its lives."""

    def __init__(self, lab: Processes, number: int) -> None:
        self.lab, self.number, self.name = lab, number, f"n{number}"
        self.process: subprocess.Popen[bytes] | None = None
        self.old: list[subprocess.Popen[bytes]] = []
        self.unready: list[subprocess.Popen[bytes]] = []
        self.served = False
        self.still: list[subprocess.Popen[bytes]] = []
        self.lives = 0
        self.admin = lab.ports["admin"][number]
        self.clock: str | None = None
        self.listening: socket.socket | None = None
        self.exits: list[int] = []

    def config(self, name: str = "") -> Path:
        """Its file: as the tool wrote it, with the relay's addresses in place of the others'."""
        table = json.loads((self.lab.folder / "config" / f"{self.name}.json").read_text())
        udp = self.lab.relay_ports["udp"][self.number]
        table["peers"] = [f"{HOST}:{port}" for port in udp]
        table["discovery"] = f"{HOST}:{self.lab.agents[self.number]}"
        table["known"] = self.lab.known[self.number]
        table["admin"] = f"{HOST}:{self.admin}"
        table["limits"]["sockets"] = 1024
        table["seed"] = f"{self.lab.seed * 1000 + self.number * 37 + self.lives:x}"
        if name:
            table["name"] = name
        path = self.lab.folder / "config" / f"{self.name}.{self.lives}.json"
        path.write_text(json.dumps(table))
        return path

    def start(self, name: str = "") -> None:
        """Starts a process; `ready` waits for it."""
        self.lives += 1
        env = os.environ | {
            "NODE_CONFIG": str(self.config(name)),
            "TMPDIR": str(self.lab.folder / "tmp" / self.name),
        }
        os.makedirs(env["TMPDIR"], exist_ok=True)
        passed: Sequence[int] = ()
        if self.lab.scenario.fleet.inherit:
            if self.listening is None:
                self.listening = socket.create_server(
                    (HOST, self.lab.ports["listen"][self.number]), backlog=512
                )
            passed = (self.listening.fileno(),)
            env["NODE_INHERITED_FD"] = str(passed[0])
        arguments = ["--clock-offset", self.clock] if self.clock else []
        with open(self.lab.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-S", "-B", "-m", "pepperrun", *arguments],
                env=env,
                stdout=subprocess.DEVNULL,
                stderr=log,
                cwd=self.lab.root,
                pass_fds=passed,
                preexec_fn=dies_with_us(self.lab.gatekeeper_cpus),
            )
        self.served = False

    def ready(self, within_s: float = READY_S) -> bool:
        """Until it says that it serves."""
        limit = time.monotonic() + within_s
        while time.monotonic() < limit and self.up():
            with contextlib.suppress(OSError):
                if send_command((HOST, self.admin), "readyz", 1.0) == b"done\n":
                    self.served = True
                    return True
            time.sleep(0.01)
        return False

    def up(self) -> bool:
        """Does its process run?"""
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        """Ends it with no word."""
        if self.process is not None and self.up():
            self.process.kill()
            self.process.wait()

    def stop(self) -> None:
        """Asks it to drain; it ends by itself."""
        if self.process is not None and self.up():
            self.process.send_signal(signal.SIGTERM)
            # One that was not ready yet has taken nothing, and may end before it can say how.
            (self.old if self.served else self.unready).append(self.process)
            self.process = None

    def draining(self) -> bool:
        """Is a process that was asked to end still there, with ports that the next one needs?"""
        inherited = self.lab.scenario.fleet.inherit
        return not inherited and any(process.poll() is None for process in [*self.old, *self.unready])

    def pause(self, on: bool) -> None:
        """Stands still, or goes on."""
        if on and self.process is not None and self.up() and not self.paused:
            self.process.send_signal(signal.SIGSTOP)
            self.still.append(self.process)
        elif not on:
            for process in self.still:  # one that was told to end meanwhile goes on too
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
            self.still.clear()

    @property
    def paused(self) -> bool:
        """Does its process stand still?"""
        return self.process is not None and self.process in self.still

    def replace(self) -> Callable[[], None]:
        """A second process is to take the first one's place; what is to be done once it has started.

        The process is started here and not there: it would end with the thread that started it.
        """
        before, self.admin = self.process, free_ports(1, socket.SOCK_STREAM)[0]
        self.start()

        def after() -> None:
            if self.ready() and before is not None and before.poll() is None:
                before.send_signal(signal.SIGTERM)
                self.old.append(before)

        return after

    def ask(self, words: str) -> dict[str, Any] | None:
        """The answer to a command at its admin address; None where it gives no answer."""
        if not self.up() or self.paused:
            return None
        try:
            answer = send_command((HOST, self.admin), words, 2.0)
            table = json.loads(answer)
        except (OSError, ValueError):
            return None
        return table if isinstance(table, dict) else None

    def end(self) -> None:
        """Ends all of its processes; what those that drained exited with is kept."""
        for process in [*self.old, *self.unready, *([self.process] if self.process is not None else [])]:
            if process.poll() is None and process in self.old:
                with contextlib.suppress(subprocess.TimeoutExpired):
                    process.wait(12)
            if process.poll() is None:
                process.kill()
                process.wait()
            if process in self.old:
                self.exits.append(process.returncode)
        if self.listening is not None:
            self.listening.close()


class Processes:
    """All processes of one run. A context: at its end none is left."""

    def __init__(
        self, scenario: Scenario, seed: int, root: Path = ROOT, keep: Path | None = None, shared: bool = False
    ) -> None:
        self.scenario, self.seed, self.root, self.keep = scenario, seed, root, keep
        fleet = scenario.fleet
        self.ports = {
            "listen": free_ports(fleet.gatekeepers, socket.SOCK_STREAM),
            "admin": free_ports(fleet.gatekeepers, socket.SOCK_STREAM),
            "peer": free_ports(fleet.gatekeepers, socket.SOCK_DGRAM),
        }
        self.helpers: list[Child] = []
        self.gatekeepers: list[Gatekeeper] = []
        self.twins: list[Gatekeeper] = []
        # Gatekeepers share the cores that the relay, the workers and the clients leave.
        cores = sorted(os.sched_getaffinity(0))
        spare = len(cores) >= 6 and not shared
        self.gatekeeper_cpus = set(cores[3:]) if spare else None
        self.own: list[set[int] | None] = (
            [{cores[0]}, {cores[1]}, {cores[2]}] if spare else [None, None, None]
        )

    def __enter__(self) -> Processes:
        self._temporary = tempfile.TemporaryDirectory(prefix="pepperrun-lab-")
        self.folder = self.keep if self.keep is not None else Path(self._temporary.name)
        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            self._open()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def helper(self, module: str, place: int) -> Child:
        """Starts one of the lab's own processes."""
        before = dies_with_us(self.own[place])
        found = Child(module, cpus=set(), package="lab", before=before, log=self.folder / f"{module}.log")
        self.helpers.append(found)
        return found

    def _open(self) -> None:
        scenario, fleet = self.scenario, self.scenario.fleet
        text = application(scenario, self.ports)
        (self.folder / "application.toml").write_text(text)
        write(self.folder / "application.toml", self.folder / "config")
        self.workers = self.helper("workers", 1)
        self.workers.say(
            workers=fleet.workers,
            zones=fleet.zones,
            cores=fleet.cores,
            slots=fleet.slots,
            cold_from=fleet.cold_from,
            cold_s=fleet.cold_s,
            late_s=fleet.lists_late_s,
        )
        self.relay = self.helper("relay", 0)
        ports = self.workers.answer()["ports"]
        self.relay_ports = self.relay.ask(seed=self.seed, peers=self.ports["peer"], workers=ports)
        told = self.workers.ask(ports=self.relay_ports["tcp"])
        self.agents, self.known = told["agents"], told["known"]
        self.gatekeepers = [Gatekeeper(self, number) for number in range(fleet.gatekeepers)]
        first = [one for one in self.gatekeepers if one.name not in fleet.late]
        for one in first:
            one.start()
        for one in first:
            if not one.ready():
                log = (self.folder / f"{one.name}.log").read_text()[-300:]
                raise RigError(f"{one.name} did not start: {log.strip()}")

    def clients(self, load: list[list[Any]]) -> Child:
        """The clients, ready to begin."""
        scenario = self.scenario
        found = self.helper("clients", 2)
        found.say(
            ports=self.ports["listen"],
            load=load,
            classes=CLASSES,
            plans=[plan.name for plan in scenario.plan],
            retries=scenario.load.retries,
            moves_on_s=scenario.load.moves_on_s,
            deadline_s=scenario.load.deadline_s,
            seed=self.seed,
        )
        found.answer()
        return found

    def twin(self, number: int) -> Gatekeeper:
        """A second process with a gatekeeper's name, at other addresses: what is sent to one reaches both."""
        twin = Gatekeeper(self, number)
        peer, listen, admin = (
            free_ports(1, kind)[0] for kind in (socket.SOCK_DGRAM, *2 * (socket.SOCK_STREAM,))
        )
        table_of = twin.config

        def config(name: str = "") -> Path:
            path = table_of(name)
            table = json.loads(path.read_text())
            table |= {
                "listen": f"{HOST}:{listen}",
                "admin": f"{HOST}:{admin}",
                "peer_listen": f"{HOST}:{peer}",
            }
            table["peers"][number] = f"{HOST}:{peer}"
            path = path.with_name(f"{twin.name}.twin.json")
            path.write_text(json.dumps(table))
            return path

        twin.config, twin.admin = config, admin  # type: ignore[method-assign]
        self.relay.ask(do="target", one=number, ports=[self.ports["peer"][number], peer])
        twin.start()
        self.twins.append(twin)
        return twin

    def rotate_key(self, step: int) -> None:
        """The steps of a rotation: 0 the new key is believed, 1 it signs, 2 the old one is dropped."""
        path = self.folder / "config" / "members.key"
        keys = [line for line in path.read_text().splitlines() if line and not line.startswith("#")]
        if step == 0:
            keys.append(f"2 {os.urandom(32).hex()}")
        elif step == 1:
            keys.reverse()
        else:
            keys = keys[:1]
        path.write_text("\n".join(keys) + "\n")

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for one in [*self.gatekeepers, *self.twins]:
            one.pause(False)
            if one.process is not None and kind is None:
                one.stop()
        for one in [*self.gatekeepers, *self.twins]:
            one.end()
        for helper in self.helpers:
            helper.close()
        for given in self.ports.values():
            ports.give_back(given)
        self._temporary.cleanup()


def readable(helper: Child, seconds: float) -> bool:
    """Does a helper's answer come within that time?"""
    return bool(select.select([helper.process.stdout], [], [], seconds)[0])
