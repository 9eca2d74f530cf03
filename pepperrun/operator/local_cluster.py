"""LocalCluster (a small system on one machine): core machines, gatekeepers and toy workers as real processes.

Each process has an address of its own of 127.0.0.0/8 and all use the same ports, as machines do. What is
started here is ended here, by its process id: gatekeepers first, then workers, then the core.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import yaml

from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.settings import Address
from pepperrun.operator.core_client import CoreClient

STEP = "starting the local cluster"
FIRST_HOST = 2  # 127.0.0.2: the first core machine
MOST_HOSTS = 250
ZONES = {"north-a": "north", "south-a": "south", "east-a": "east"}
PORTS = ("control_port", "directory_port", "counter", "ready_port", "worker", "siding", "last_internal_port")
BLOCKS = range(20000, 32000, len(PORTS))  # below the ports that the system gives to callers
TRIES = 200
HOST, KEEPER = "cluster.example", "newcomer"
READY_S, LOOK_S, AGAIN_S = 30.0, 0.5, 0.1
GRACE_S, WORKER_DRAIN_MS = 3.0, 500


class Sizes(NamedTuple):
    """How many processes; `workers` of each of the services."""

    cores: int = 3
    gateways: int = 3
    workers: int = 2
    services: tuple[str, ...] = ("search", "booking")

    def check(self) -> None:
        """PepperrunError where it can't be had."""
        hosts = self.cores + self.gateways + self.workers * len(self.services)
        if min(self.cores, self.gateways, self.workers, len(self.services)) < 1 or hosts > MOST_HOSTS:
            raise PepperrunError(
                "bad-size", STEP, f"one of each at the least, {MOST_HOSTS} processes at most"
            )
        if len(set(self.services)) < len(self.services) or not all(one.isalnum() for one in self.services):
            raise PepperrunError("bad-size", STEP, "services are distinct names of letters and digits")


@dataclass
class Child:
    """A process that was started here."""

    name: str
    role: str
    ip: str
    zone: str
    command: list[str]
    process: subprocess.Popen[bytes] | None = None
    exit_reported: bool = field(default=False)


def free_ports(hosts: list[str]) -> dict[str, int]:
    """A block of ports that are free at all of these addresses, by TCP and by UDP."""
    for start in random.sample(BLOCKS, TRIES):
        ports = {name: start + step for step, name in enumerate(PORTS)}
        with ExitStack() as held:
            try:
                for host in hosts:
                    for port in ports.values():
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            one = held.enter_context(socket.socket(socket.AF_INET, kind))
                            one.bind((host, port))
            except OSError:
                continue
        return ports
    raise PepperrunError(
        "no-ports", STEP, "no block of free ports: does this machine have all of 127.0.0.0/8?"
    )


class LocalCluster:
    """The processes, their folder, and what a newcomer is told."""

    def __init__(
        self, sizes: Sizes, folder: Path, grace_s: float = GRACE_S, worker_options: tuple[str, ...] = ()
    ) -> None:
        sizes.check()
        self.sizes, self.folder, self.grace_s = sizes, folder, grace_s
        self.worker_options = worker_options  # for the toy workers; `{name}` is each one's name
        self.stop = threading.Event()
        self.children: list[Child] = []
        count = sizes.cores + sizes.gateways + sizes.workers * len(sizes.services)
        hosts = [f"127.0.0.{FIRST_HOST + at}" for at in range(count)]
        self.ports = free_ports(hosts)
        self.cores, rest = hosts[: sizes.cores], hosts[sizes.cores :]
        self.gateways, self.worker_hosts = rest[: sizes.gateways], rest[sizes.gateways :]
        self.control_addresses = [(ip, self.ports["control_port"]) for ip in self.cores]
        self.key = ""
        self.first_run = not any(folder.glob("disks/*/data.mdb"))  # only empty disks may begin anything

    # What the processes are told.

    def write_settings(self, station: str, role: str, ip: str, zone: str) -> Path:
        """Writes a settings file."""
        core, ports = role == "control_node", self.ports
        names = ("control_port", "directory_port") if core else ("counter", "ready_port")
        me: dict[str, Any] = {"station": station, "role": role, "class": "sorting" if core else "counter"}
        me |= {"ip": ip, "zone": zone, "region": ZONES[zone], "counted": core, "first_run": self.first_run}
        if core:
            me["store_dir"] = str(self.folder / "disks" / station)
        contacts = [f"{host}:{port}" for host, port in self.control_addresses[:3]]
        network = {
            "postboxes": {name: f"{ip}:{ports[name]}" for name in names},
            "sidings": [ports["siding"], ports["last_internal_port"]],
            "first_contacts": contacts,
            "zones": ZONES,
        }
        tariffs = {"withstand": {"vehicles": 1}, "bounds": {"grace_s": self.grace_s}}
        data = {"self": me, "network": network, "carrier": {"beat_ms": 1500}, "tariffs": tariffs}
        file = self.folder / "settings" / f"{station}.yaml"
        file.write_text(yaml.safe_dump(data, sort_keys=False))
        return file

    def prepare_children(self) -> None:
        """Who is to run, with files and folders."""
        for name in ("settings", "disks", "logs"):
            (self.folder / name).mkdir(parents=True, exist_ok=True)
        zones = list(ZONES)
        for role, hosts in (("control_node", self.cores), ("gateway_node", self.gateways)):
            for at, ip in enumerate(hosts):
                zone, name = zones[at % len(zones)], f"{role}-{at + 1}"
                if role == "control_node":
                    (self.folder / "disks" / name).mkdir(exist_ok=True)
                file = self.write_settings(name, role, ip, zone)
                command = [sys.executable, "-m", f"pepperrun.{role}", "--settings", str(file)]
                command += ["--trace", "20"] if role == "gateway_node" else []
                self.children.append(Child(name, role, ip, zone, command))
        control = ",".join(f"{host}:{port}" for host, port in self.control_addresses)
        for at, ip in enumerate(self.worker_hosts):
            line, number = self.sizes.services[at % len(self.sizes.services)], at // len(self.sizes.services)
            zone = zones[number % len(zones)]
            command = [sys.executable, "-m", "pepperrun.operator.toy_workers", "--line", line, "--zone", zone]
            command += ["--listen", f"{ip}:{self.ports['worker']}", "--control", control]
            command += ["--drain", str(WORKER_DRAIN_MS)]
            name = f"{line}-{number + 1}"
            command += [option.format(name=name) for option in self.worker_options]
            self.children.append(Child(name, "worker", ip, zone, command))

    def first_configuration(self) -> dict[str, Any]:
        """The first configuration: a route for each service, one tenant with a new key."""
        columns = ["name", "depot", "prefix", "route_kind", "deadline_ms", "target_ms", "tries", "line"]
        routes = [[f"r-{one}", HOST, f"/{one}/", "safe", 3000, 1000, 2, one] for one in self.sizes.services]
        lines = [[one, "/health", 100] for one in self.sizes.services]
        sender = [KEEPER, [secrets.token_hex(10)], 100, 100]
        return {
            "edition": 1,
            "routes": {"columns": columns, "rows": routes},
            "carrier_lines": {"columns": ["name", "health_path", "berth_cap"], "rows": lines},
            "limits": {},
            "senders": {"columns": ["name", "stamps", "rate_per_s", "surge"], "rows": [sender]},
        }

    # Running.

    def start(self) -> None:
        """Starts all, puts the configuration where there is none, waits until each gatekeeper serves."""
        self.prepare_children()
        for child in self.children:
            self.launch(child)
        caller = CoreClient(self.control_addresses, READY_S, sleep=self._pause)
        held = json.loads(caller.call("GET", "/timetable/read").body)
        if not held["edition"]:
            held = self.first_configuration()
            told = caller.call("POST", "/timetable/replace", json.dumps(held).encode(), {"Based-On": "0"})
            if told.status != 200:
                raise PepperrunError("not-taken", STEP, told.body.decode("utf-8", "replace"), told.address)
            (self.folder / "timetable.json").write_text(json.dumps(held, indent=1))
        columns, rows = held["senders"]["columns"], held["senders"]["rows"]
        self.key = rows[0][columns.index("stamps")][0] if rows else ""
        for ip in self.gateways:
            self._wait((ip, self.ports["counter"]))
        self.first_run = False  # whoever is started again, on whatever disk, begins nothing
        for child in self.children:
            if child.role != "worker":
                self.write_settings(child.name, child.role, child.ip, child.zone)

    def launch(self, child: Child) -> None:
        """Starts a process, or starts it again once it has ended."""
        home = str(Path(__file__).resolve().parents[2])
        path = os.pathsep.join(filter(None, (home, os.environ.get("PYTHONPATH"))))
        with (self.folder / "logs" / f"{child.name}.log").open("ab") as log:
            child.process = subprocess.Popen(
                child.command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONPATH": path},
                start_new_session=True,  # Ctrl-C is for the local cluster, which ends them in order
            )

    def _pause(self, seconds: float) -> None:
        """Waits, unless it is to stop or one of the processes has not come up."""
        for child in self.children:
            if child.process is not None and child.process.poll() is not None:
                log = self.folder / "logs" / f"{child.name}.log"
                raise PepperrunError(
                    "ended", STEP, f"it ended with {child.process.returncode}, see {log}", child.name
                )
        if self.stop.wait(seconds):
            raise PepperrunError("stopped", STEP, "it was told to stop")

    def _wait(self, counter: Address) -> None:
        """Until a gatekeeper answers on each service's route."""
        end = time.monotonic() + READY_S
        for service in self.sizes.services:
            while not self.is_serving(counter, service):
                if time.monotonic() > end:
                    raise PepperrunError(
                        "not-ready", STEP, f"no 200 for /{service}/", f"{counter[0]}:{counter[1]}"
                    )
                self._pause(AGAIN_S)

    def is_serving(self, counter: Address, service: str) -> bool:
        """One request, as a client sends it: was it served?"""
        connection = http.client.HTTPConnection(*counter, timeout=3)
        fields = {"Host": HOST, "Attempt-Id": secrets.token_hex(8), "Authorization": f"Token {self.key}"}
        try:
            connection.request("GET", f"/{service}/1", headers=fields | {"Connection": "close"})
            response = connection.getresponse()
            response.read()
            return response.status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def usage(self) -> str:
        """Addresses, process ids and calls that work."""
        ports, at = self.ports, ",".join(f"{host}:{port}" for host, port in self.control_addresses)
        counter, internal_port = f"{self.gateways[0]}:{ports['counter']}", ports["siding"]
        rows = [f"{'':10} {'process':>8}  {'address':14} {'zone':9} serves"]
        for child in self.children:
            serves = {
                "control_node": f"control :{ports['control_port']}, directory :{ports['directory_port']}",
                "gateway_node": f"clients :{ports['counter']}, /ready :{ports['ready_port']}",
                "worker": f"requests :{ports['worker']}",
            }[child.role]
            own = f", own {child.ip}:{internal_port}" if child.role != "worker" else ""
            pid = child.process.pid if child.process is not None else 0
            rows.append(f"{child.name:10} {pid:>8}  {child.ip:14} {child.zone:9} {serves}{own}")
        command, service = "python3 -m pepperrun.operatorctl", self.sizes.services[0]
        curl = f"curl -i -H 'Host: {HOST}' -H 'Attempt-Id: 1' -H 'Authorization: Token {self.key}'"
        return "\n".join(
            [
                *(f"settings, disks and logs: {self.folder}", *rows, "", "a request:"),
                *(f"  {curl} http://{counter}/{service}/1", "the system:"),
                *(
                    f"  {command} show {self.gateways[0]}:{internal_port}",
                    f"  {command} show {self.cores[0]}:{internal_port}",
                ),
                f"  {command} read --at {at}",
                f"  {command} evacuate {next(iter(ZONES))} --at {at}",
            ]
        )

    def wait_and_report_exits(self, duration_s: float | None) -> None:
        """Until it is to stop; says who has ended meanwhile."""
        end = time.monotonic() + duration_s if duration_s is not None else None
        while end is None or time.monotonic() < end:
            left = LOOK_S if end is None else max(0.0, min(LOOK_S, end - time.monotonic()))
            if self.stop.wait(left):
                return
            for child in self.children:
                if not child.exit_reported and child.process is not None and child.process.poll() is not None:
                    child.exit_reported = True
                    print(f"{child.name} has ended with {child.process.returncode}", flush=True)

    def shut_down(self) -> None:
        """Ends what runs, one kind after the other; who does not end in its time is killed."""
        for role in ("gateway_node", "worker", "control_node"):
            group = [one.process for one in self.children if one.role == role and one.process is not None]
            for process in group:
                if process.poll() is None:
                    process.send_signal(signal.SIGTERM)
            until = time.monotonic() + self.grace_s + WORKER_DRAIN_MS / 1000 + 2
            for process in group:
                try:
                    process.wait(max(0.1, until - time.monotonic()))
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()


def run(sizes: Sizes, folder: str | None, duration_s: float | None) -> int:
    """Starts a system, says how to use it, ends it on Ctrl-C, SIGTERM or after so many seconds; 0."""
    where = Path(folder).resolve() if folder else Path(tempfile.mkdtemp(prefix="pepperrun-local-cluster-"))
    cluster = LocalCluster(sizes, where)
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: cluster.stop.set())
    try:
        cluster.start()
        print(cluster.usage(), "", "It runs until Ctrl-C.", sep="\n", flush=True)
        cluster.wait_and_report_exits(duration_s)
    except PepperrunError as error:
        if error.code != "stopped":
            raise
    finally:
        cluster.shut_down()
    return 0
