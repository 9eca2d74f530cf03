"""Runs a small system on one machine: control nodes, gatekeepers and toy workers as separate processes.

Each process has an address of its own in 127.0.0.0/8, and all use the same ports, as on separate machines.
The cluster stops the processes that it started by their process ids: gatekeepers first, then workers, then
control nodes.
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
from pepperrun.operator.control_client import ControlClient

STEP = "starting the local cluster"
FIRST_HOST = 2  # last byte of the first address, 127.0.0.2
MAX_HOSTS = 250
ZONES = {"north-a": "north", "south-a": "south", "east-a": "east"}
PORTS = ("control_port", "directory_port", "counter", "ready_port", "worker", "siding", "last_internal_port")
PORT_BLOCKS = range(20000, 32000, len(PORTS))  # below the ephemeral ports of the operating system
PORT_ATTEMPTS = 200
HOST, TENANT = "cluster.example", "newcomer"  # Host of the routes, name of the tenant
READY_TIMEOUT_S, EXIT_CHECK_S, READY_CHECK_S = 30.0, 0.5, 0.1
GRACE_S, WORKER_DRAIN_MS = 3.0, 500  # to finish requests at shutdown: nodes, workers


class Sizes(NamedTuple):
    """Numbers of processes. `workers` is the number for each service."""

    control_nodes: int = 3
    gateways: int = 3
    workers: int = 2
    services: tuple[str, ...] = ("search", "booking")

    def check(self) -> None:
        """Raises PepperrunError `bad-size` if such a cluster can't be started."""
        hosts = self.control_nodes + self.gateways + self.workers * len(self.services)
        if min(self.control_nodes, self.gateways, self.workers, len(self.services)) < 1 or hosts > MAX_HOSTS:
            raise PepperrunError(
                "bad-size",
                STEP,
                f"each kind needs at least one process, and {MAX_HOSTS} processes are the maximum",
            )
        if len(set(self.services)) < len(self.services) or not all(one.isalnum() for one in self.services):
            raise PepperrunError(
                "bad-size", STEP, "names of services must be distinct and consist of letters and digits"
            )


@dataclass
class Child:
    """A process of the cluster, with the command that starts it."""

    name: str
    role: str
    ip: str
    zone: str
    command: list[str]
    process: subprocess.Popen[bytes] | None = None
    exit_reported: bool = field(default=False)


def free_ports(hosts: list[str]) -> dict[str, int]:
    """Returns by name a block of ports that are free for TCP and UDP on all of these addresses.

    Raises PepperrunError `no-ports`.
    """
    for start in random.sample(PORT_BLOCKS, PORT_ATTEMPTS):
        ports = {name: start + step for step, name in enumerate(PORTS)}
        with ExitStack() as sockets:
            try:
                for host in hosts:
                    for port in ports.values():
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            probe = sockets.enter_context(socket.socket(socket.AF_INET, kind))
                            probe.bind((host, port))
            except OSError:
                continue
        return ports
    raise PepperrunError(
        "no-ports", STEP, "found no block of free ports; all of 127.0.0.0/8 must be local to this machine"
    )


class LocalCluster:
    """The processes of one cluster, their folder, and instructions for their use."""

    def __init__(
        self, sizes: Sizes, folder: Path, grace_s: float = GRACE_S, worker_options: tuple[str, ...] = ()
    ) -> None:
        sizes.check()
        self.sizes, self.folder, self.grace_s = sizes, folder, grace_s
        self.worker_options = worker_options  # for the toy workers; `{name}` is replaced by the worker's name
        self.stop = threading.Event()
        self.children: list[Child] = []
        count = sizes.control_nodes + sizes.gateways + sizes.workers * len(sizes.services)
        hosts = [f"127.0.0.{FIRST_HOST + index}" for index in range(count)]
        self.ports = free_ports(hosts)
        self.control_nodes, rest = hosts[: sizes.control_nodes], hosts[sizes.control_nodes :]
        self.gateways, self.worker_hosts = rest[: sizes.gateways], rest[sizes.gateways :]
        self.control_addresses = [(ip, self.ports["control_port"]) for ip in self.control_nodes]
        self.key = ""
        # Nodes may bootstrap a system only if no disk contains data.
        self.first_run = not any(folder.glob("disks/*/data.mdb"))

    # Configuration of the processes.

    def write_settings(self, station: str, role: str, ip: str, zone: str) -> Path:
        """Writes the settings file of one process and returns its path."""
        is_core, ports = role == "control_node", self.ports
        names = ("control_port", "directory_port") if is_core else ("counter", "ready_port")
        me: dict[str, Any] = {"station": station, "role": role, "class": "sorting" if is_core else "counter"}
        me |= {"ip": ip, "zone": zone, "region": ZONES[zone], "counted": is_core, "first_run": self.first_run}
        if is_core:
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
        """Creates folders and settings files, and lists the processes in `children`."""
        for name in ("settings", "disks", "logs"):
            (self.folder / name).mkdir(parents=True, exist_ok=True)
        zones = list(ZONES)
        for role, hosts in (("control_node", self.control_nodes), ("gateway_node", self.gateways)):
            for index, ip in enumerate(hosts):
                zone, name = zones[index % len(zones)], f"{role}-{index + 1}"
                if role == "control_node":
                    (self.folder / "disks" / name).mkdir(exist_ok=True)
                file = self.write_settings(name, role, ip, zone)
                command = [sys.executable, "-m", f"pepperrun.{role}", "--settings", str(file)]
                command += ["--trace", "20"] if role == "gateway_node" else []
                self.children.append(Child(name, role, ip, zone, command))
        control = ",".join(f"{host}:{port}" for host, port in self.control_addresses)
        for index, ip in enumerate(self.worker_hosts):
            service, number = (
                self.sizes.services[index % len(self.sizes.services)],
                index // len(self.sizes.services),
            )
            zone = zones[number % len(zones)]
            command = [
                sys.executable,
                "-m",
                "pepperrun.operator.toy_workers",
                "--line",
                service,
                "--zone",
                zone,
            ]
            command += ["--listen", f"{ip}:{self.ports['worker']}", "--control", control]
            command += ["--drain", str(WORKER_DRAIN_MS)]
            name = f"{service}-{number + 1}"
            command += [option.format(name=name) for option in self.worker_options]
            self.children.append(Child(name, "worker", ip, zone, command))

    def first_configuration(self) -> dict[str, Any]:
        """Returns the first configuration: a route for each service, one tenant with a new key."""
        columns = ["name", "depot", "prefix", "route_kind", "deadline_ms", "target_ms", "tries", "line"]
        routes = [
            [f"r-{service}", HOST, f"/{service}/", "safe", 3000, 1000, 2, service]
            for service in self.sizes.services
        ]
        services = [[service, "/health", 100] for service in self.sizes.services]
        sender = [TENANT, [secrets.token_hex(10)], 100, 100]
        return {
            "edition": 1,
            "routes": {"columns": columns, "rows": routes},
            "carrier_lines": {"columns": ["name", "health_path", "berth_cap"], "rows": services},
            "limits": {},
            "senders": {"columns": ["name", "stamps", "rate_per_s", "surge"], "rows": [sender]},
        }

    # Processes.

    def start(self) -> None:
        """Starts all processes and waits until each gatekeeper serves. Puts a configuration if there is none.

        Raises PepperrunError `not-taken`, `not-ready`, `ended`, `stopped` or `no-answer`.
        """
        self.prepare_children()
        for child in self.children:
            self.launch(child)
        client = ControlClient(self.control_addresses, READY_TIMEOUT_S, sleep=self._wait_or_raise)
        configuration = json.loads(client.call("GET", "/timetable/read").body)
        if not configuration["edition"]:
            configuration = self.first_configuration()
            response = client.call(
                "POST", "/timetable/replace", json.dumps(configuration).encode(), {"Based-On": "0"}
            )
            if response.status != 200:
                raise PepperrunError(
                    "not-taken", STEP, response.body.decode("utf-8", "replace"), response.address
                )
            (self.folder / "timetable.json").write_text(json.dumps(configuration, indent=1))
        columns, rows = configuration["senders"]["columns"], configuration["senders"]["rows"]
        self.key = rows[0][columns.index("stamps")][0] if rows else ""
        for ip in self.gateways:
            self._wait_until_serving((ip, self.ports["counter"]))
        self.first_run = False  # a restarted node must not bootstrap a system, whatever its disk contains
        for child in self.children:
            if child.role != "worker":
                self.write_settings(child.name, child.role, child.ip, child.zone)

    def launch(self, child: Child) -> None:
        """Starts a process, or restarts one that has ended. Its output is appended to its log."""
        root = str(Path(__file__).resolve().parents[2])
        path = os.pathsep.join(filter(None, (root, os.environ.get("PYTHONPATH"))))
        with (self.folder / "logs" / f"{child.name}.log").open("ab") as log:
            child.process = subprocess.Popen(
                child.command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONPATH": path},
                start_new_session=True,  # Ctrl-C reaches only the cluster, which stops the processes in order
            )

    def _wait_or_raise(self, seconds: float) -> None:
        """Waits. Raises PepperrunError `ended` if a process has ended, `stopped` after the stop signal."""
        for child in self.children:
            if child.process is not None and child.process.poll() is not None:
                log = self.folder / "logs" / f"{child.name}.log"
                raise PepperrunError(
                    "ended",
                    STEP,
                    f"the process ended with exit code {child.process.returncode}; see {log}",
                    child.name,
                )
        if self.stop.wait(seconds):
            raise PepperrunError("stopped", STEP, "received a signal to stop")

    def _wait_until_serving(self, gateway: Address) -> None:
        """Waits until a gatekeeper serves the route of each service."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        for service in self.sizes.services:
            while not self.is_serving(gateway, service):
                if time.monotonic() > deadline:
                    raise PepperrunError(
                        "not-ready", STEP, f"no response 200 for /{service}/", f"{gateway[0]}:{gateway[1]}"
                    )
                self._wait_or_raise(READY_CHECK_S)

    def is_serving(self, gateway: Address, service: str) -> bool:
        """Sends one client request and returns whether the response is 200."""
        connection = http.client.HTTPConnection(*gateway, timeout=3)
        headers = {"Host": HOST, "Attempt-Id": secrets.token_hex(8), "Authorization": f"Token {self.key}"}
        try:
            connection.request("GET", f"/{service}/1", headers=headers | {"Connection": "close"})
            response = connection.getresponse()
            response.read()
            return response.status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def usage(self) -> str:
        """Returns instructions: addresses, process ids, and commands that can be copied."""
        ports, at = self.ports, ",".join(f"{host}:{port}" for host, port in self.control_addresses)
        gateway, internal_port = f"{self.gateways[0]}:{ports['counter']}", ports["siding"]
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
                *(f"  {curl} http://{gateway}/{service}/1", "the system:"),
                *(
                    f"  {command} show {self.gateways[0]}:{internal_port}",
                    f"  {command} show {self.control_nodes[0]}:{internal_port}",
                ),
                f"  {command} read --at {at}",
                f"  {command} evacuate {next(iter(ZONES))} --at {at}",
            ]
        )

    def wait_and_report_exits(self, duration_s: float | None) -> None:
        """Waits for the stop signal or the end of the duration, and prints which processes end meanwhile."""
        deadline = time.monotonic() + duration_s if duration_s is not None else None
        while deadline is None or time.monotonic() < deadline:
            pause_s = (
                EXIT_CHECK_S if deadline is None else max(0.0, min(EXIT_CHECK_S, deadline - time.monotonic()))
            )
            if self.stop.wait(pause_s):
                return
            for child in self.children:
                if not child.exit_reported and child.process is not None and child.process.poll() is not None:
                    child.exit_reported = True
                    print(f"{child.name} has ended with exit code {child.process.returncode}", flush=True)

    def shut_down(self) -> None:
        """Stops the running processes, one role after the other. Kills those that exceed the grace time."""
        for role in ("gateway_node", "worker", "control_node"):
            processes = [
                child.process for child in self.children if child.role == role and child.process is not None
            ]
            for process in processes:
                if process.poll() is None:
                    process.send_signal(signal.SIGTERM)
            deadline = time.monotonic() + self.grace_s + WORKER_DRAIN_MS / 1000 + 2
            for process in processes:
                try:
                    process.wait(max(0.1, deadline - time.monotonic()))
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()


def run(sizes: Sizes, folder: str | None, duration_s: float | None) -> int:
    """Starts a cluster, prints instructions, stops it on Ctrl-C, SIGTERM or after the duration. Returns 0."""
    path = Path(folder).resolve() if folder else Path(tempfile.mkdtemp(prefix="pepperrun-local-cluster-"))
    cluster = LocalCluster(sizes, path)
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: cluster.stop.set())
    try:
        cluster.start()
        print(cluster.usage(), "", "The cluster runs until Ctrl-C.", sep="\n", flush=True)
        cluster.wait_and_report_exits(duration_s)
    except PepperrunError as error:
        if error.code != "stopped":
            raise
    finally:
        cluster.shut_down()
    return 0
