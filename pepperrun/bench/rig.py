"""A gatekeeper, stand-in workers and clients as processes on loopback, and what the system says of them."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any

import pepperrun
from pepperrun.bench.cpus import spare_cpus

HOST = "127.0.0.1"
ROOT = Path(pepperrun.__file__).resolve().parent.parent
PAGE = os.sysconf("SC_PAGE_SIZE")
MIN_SPARE_CPUS = 4

SETTINGS: dict[str, Any] = {
    "Me": 0,
    "ReplicasOfMe": 1,
    "PeriodNs": 4_000_000,
    "Classes": [
        {
            "Name": "booking-confirm",
            "OnTimeNs": 1_500_000_000,
            "DeadlineNs": 5_000_000_000,
            "Semantics": "idempotency_key",
            "Group": "all",
            "WindowNs": 10_000_000_000,
        },
    ],
    "Tariffs": [{"Name": "wide", "Refill": 1e6, "StoreSize": 1e6}],
    "Limits": {"MostTries": 3, "KeepaliveNs": 15_000_000_000},
}


class RigError(Exception):
    """An experiment could not be run; the text says why."""


@dataclass(slots=True, frozen=True)
class Usage:
    """Of one process: CPU seconds, its own anonymous memory in bytes, descriptors."""

    cpu_s: float
    anonymous: int
    descriptors: int


def usage(pid: int) -> Usage:
    """What the system says of a process."""
    with open(f"/proc/{pid}/schedstat") as file:  # nanoseconds; /proc/PID/stat counts in hundredths
        on_cpu = int(file.read().split()[0])
    with open(f"/proc/{pid}/status") as file:
        lines = dict(line.split(":", 1) for line in file)
    size = os.stat(f"/proc/{pid}/fd").st_size or len(os.listdir(f"/proc/{pid}/fd"))
    return Usage(on_cpu / 1e9, int(lines["RssAnon"].split()[0]) * 1024, size)


def kernel_bytes() -> int:
    """Memory of the machine's kernel for sockets, epoll and files: its slabs and the TCP buffers."""
    with open("/proc/meminfo") as file:
        lines = dict(line.split(":", 1) for line in file)
    with open("/proc/net/sockstat") as file:
        tcp = next(line for line in file if line.startswith("TCP:")).split()
    return int(lines["Slab"].split()[0]) * 1024 + int(tcp[tcp.index("mem") + 1]) * PAGE


def pin(cpus: set[int]) -> Callable[[], None] | None:
    """For a child before its program starts: only those processors, where the machine has them to spare.

    The numbers count the idle processors. With fewer than four of these nothing is pinned.
    """
    have = spare_cpus()
    if len(have) < MIN_SPARE_CPUS:
        return None
    chosen = {have[number % len(have)] for number in cpus}
    return lambda: os.sched_setaffinity(0, chosen)


class Child:
    """A process of the rig that answers each line of JSON with one."""

    def __init__(
        self,
        module: str,
        *arguments: object,
        cpus: set[int],
        package: str = "bench",
        before: Callable[[], None] | None = None,
        log: Path | None = None,
    ) -> None:
        """`before` is called in the child before its program starts, in place of pinning it to `cpus`."""
        self.module = module
        with open(log, "wb") if log is not None else contextlib.nullcontext() as stderr:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", f"pepperrun.{package}.{module}", *map(str, arguments)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=stderr,
                text=True,
                cwd=ROOT,
                preexec_fn=before or pin(cpus),
            )

    def line(self) -> str:
        """Its next line."""
        assert self.process.stdout is not None
        got = self.process.stdout.readline()
        if not got:
            raise RigError(f"{self.module} has ended with {self.process.wait()}")
        return got

    def say(self, **what: Any) -> None:
        """Sends a command."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(what) + "\n")
        self.process.stdin.flush()

    def answer(self) -> dict[str, Any]:
        """The answer to the command sent first."""
        answer: dict[str, Any] = json.loads(self.line())
        return answer

    def ask(self, **what: Any) -> dict[str, Any]:
        """Sends a command and waits for its answer."""
        self.say(**what)
        return self.answer()

    def close(self) -> None:
        """Ends it: its input ends."""
        assert self.process.stdin is not None and self.process.stdout is not None
        with contextlib.suppress(OSError):
            self.process.stdin.close()
        try:
            self.process.wait(5)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()


class Rig:
    """Everything of one experiment. A context: at its end all that it started has ended."""

    def __init__(
        self,
        clients: dict[str, Any] | None,
        service_ms: float = 5.0,
        sockets: int = 20_000,
        arguments: Sequence[str] = (),
        module: str = "pepperrun",
        env: Mapping[str, str] | None = None,
    ) -> None:
        self.arguments, self.module, self.env = list(arguments), module, dict(env or {})
        self.clients_file, self.service_ms, self.sockets = clients, service_ms, sockets
        self.children: list[Child] = []
        self.lines: list[str] = []
        self.port = 0

    def __enter__(self) -> Rig:
        self.folder = tempfile.TemporaryDirectory(prefix="pepperrun-bench-")
        try:
            self._start()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def _start(self) -> None:
        known = []
        for number in range(2):
            worker = self.child("worker", 0, self.service_ms, cpus={1})
            known.append(
                {"id": f"w{number}", "addr": f"{HOST}:{int(worker.line())}", "state": "Ready", "zone": "a"}
            )
        config = {
            "name": "bench",
            "listen": f"{HOST}:0",
            "limits": {"sockets": self.sockets},
            "known": {"version": 1, "full": True, "servers": known},
            "settings": SETTINGS,
        }
        path = Path(self.folder.name)
        (path / "config.json").write_text(json.dumps(config))
        # Without the libraries, as the platform starts it, unless an option needs one.
        command = [sys.executable, *([] if self.arguments else ["-S"]), "-B", "-m", self.module]
        command += self.arguments
        if self.clients_file is not None:
            self.write_clients(self.clients_file)
            command += ["--clients", str(path / "clients.json")]
        self.gatekeeper = subprocess.Popen(
            command,
            env=os.environ | self.env | {"NODE_CONFIG": str(path / "config.json")},
            stderr=subprocess.PIPE,
            text=True,
            cwd=ROOT,
            preexec_fn=pin({0}),
        )
        assert self.gatekeeper.stderr is not None
        for line in self.gatekeeper.stderr:
            if "listens at" in line:
                self.port = int(line.rsplit(":", 1)[1])
                break
        else:
            raise RigError(f"the gatekeeper did not start (exit {self.gatekeeper.wait()})")
        # Its lines are read on: a full pipe would stall it.
        self.reader = threading.Thread(target=self._read, args=(self.gatekeeper.stderr,), daemon=True)
        self.reader.start()

    def _read(self, stream: Any) -> None:
        for line in stream:
            self.lines.append(line.rstrip())

    def write_clients(self, clients: dict[str, Any]) -> None:
        """The operators' file on clients, before the start or a reload."""
        (Path(self.folder.name) / "clients.json").write_text(json.dumps(clients))

    def reload(self, clients: dict[str, Any]) -> None:
        """Another file and SIGHUP."""
        self.write_clients(clients)
        self.gatekeeper.send_signal(signal.SIGHUP)

    def child(self, module: str, *arguments: object, cpus: set[int]) -> Child:
        """Starts a process of the rig."""
        child = Child(module, *arguments, cpus=cpus)
        self.children.append(child)
        return child

    def pids(self) -> list[int]:
        """The gatekeeper's processes, its holders included."""
        pid = self.gatekeeper.pid
        with open(f"/proc/{pid}/task/{pid}/children") as file:
            return [pid, *map(int, file.read().split())]

    def usage(self) -> list[Usage]:
        """What the system says of each of the gatekeeper's processes."""
        return [usage(pid) for pid in self.pids()]

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for child in self.children:
            child.close()
        gatekeeper = getattr(self, "gatekeeper", None)
        if gatekeeper is not None:
            if gatekeeper.poll() is None:
                gatekeeper.send_signal(signal.SIGTERM)
                try:
                    gatekeeper.wait(15)
                except subprocess.TimeoutExpired:
                    gatekeeper.kill()
                    gatekeeper.wait()
            if hasattr(self, "reader"):
                self.reader.join(5)
            gatekeeper.stderr.close()
        self.folder.cleanup()
