"""The settings file of `control_node` and `gateway_node`, read and checked by dacite.

Unknown fields are ignored. The stand-alone sidecar, `python -m pepperrun`, reads another configuration with
`pepperrun.config`.

The classes mirror the tables of the file, and their fields are the keys of the file.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import dacite
import yaml

from pepperrun.foundation.errors import PepperrunError

Address = tuple[str, int]


@dataclass(frozen=True)
class Limits:
    """Resources that the machine gives the process; 0 where no limit is stated."""

    # Accepted, not used.
    cpu_share: float = 1.0
    # Accepted, not used.
    cores: int = 1
    # A gatekeeper derives from the memory in MB how much its buffers may take.
    memory_mb: float = 0
    # A gatekeeper derives the number of its connections from the number of descriptors; 0: 2048.
    file_handles: int = 0
    # Bandwidth in Mbit/s, from which a gatekeeper derives how much state it relays to others.
    link_mbps: float = 0.0
    # Size in MB of a control node's disk, of which at most half is used.
    disk_mb: float = 0


@dataclass(frozen=True)
class Self:
    """This process and its machine: table `self` of the file."""

    # Name of this process, unique in the system.
    station: str
    # Accepted, not used: the program that is started decides.
    role: str
    # IPv4 address of the machine. It identifies a control node and is also the internal address.
    ip: str
    # Failure domain of the machine; its region is `region`.
    zone: str
    region: str
    # Accepted, not used.
    carries: list[str] = field(default_factory=list)
    # Accepted, not used.
    counted: bool = False
    # True only at the first start of the system: the control nodes in `first_contacts` then create its state.
    first_run: bool = False
    # Directory of a control node's durable state; without one the state is only in memory.
    store_dir: str | None = None
    limits: Limits = field(default_factory=Limits)


@dataclass(frozen=True)
class Network:
    """Addresses and ports: those served here, the internal ports, and the control nodes to contact first."""

    # First and last of the internal ports. The first serves the other processes, by TCP and by UDP; the
    # settings check compares the range with the ports in `postboxes`.
    sidings: list[int]
    # Control nodes to contact first, as host:port. The port is ignored: the first internal port is used.
    first_contacts: list[str]
    # Listening addresses, host:port, by interface: `control_port` and `directory_port` of a control node,
    # `counter` and `ready_port` of a gatekeeper. An interface without an address is not served.
    postboxes: dict[str, str] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)  # region of each zone


@dataclass(frozen=True)
class Carrier:
    """Heartbeats of workers."""

    # Interval of the heartbeats in ms. Control nodes derive from it when a worker counts as lost.
    beat_ms: float = 1500


@dataclass(frozen=True)
class Withstand:
    """Failures at one time that the system must tolerate.

    The control nodes derive from them the largest number of voters: twice the losses to tolerate plus one.
    """

    # Machines.
    vehicles: int = 1
    # Zones; each counts as the loss of one control node.
    zones: int = 0
    # Regions; each counts as the loss of all its zones.
    regions: int = 0


@dataclass(frozen=True)
class Bounds:
    """Limits that the rules set; `_ms` is in milliseconds, `_s` in seconds.

    The settings check requires each number to be 0 or more. "Only judged": no process reads the limit, the
    checks of the simulation do.
    """

    # Only judged: with `stretch_ms`, the time after a fault in which the rules for times without faults do
    # not hold.
    contact_ms: float = 4000
    # For so long an operator may repeat a call that got no definite answer; control nodes treat the repeated
    # order of an evacuation as the same one.
    receipt_ms: float = 6000
    # Accepted, not used.
    catch_up_s: float = 4
    # Only judged: time after a worker's report that it drains until it gets no more requests.
    drain_ms: float = 3000
    # Grace period of a gatekeeper, from the signal to stop until its end.
    grace_s: float = 6
    # Age of the agreed state up to which a gatekeeper counts as ready and answers 401 and 404 from it (for
    # these answers a margin is subtracted).
    edition_ms: float = 3000
    # Only judged: time for which a gatekeeper may still serve an older version after it served a newer one.
    revert_slack_ms: float = 250
    # Only judged: see `contact_ms`.
    stretch_ms: float = 8000
    # Whether a gatekeeper holds back the requests of tenants while its state may be older than `revoke_ms`
    # less a margin. A `quota_window_s` above 0 has the same effect.
    revocation_total: bool = False
    # Time within which a revoked key or a former quota owner stops counting at all gatekeepers.
    revoke_ms: float = 5000
    # Retries per request that all gatekeepers together may send; three quarters of it are used.
    retry_ratio: float = 0.2
    # Only judged: the time over which retries are counted.
    retry_window_s: float = 10
    # Retries above the ratio that all gatekeepers together may send; 0.6 of them are used.
    retry_slack: float = 0
    # Length of the window in which a tenant's quota is checked; see `pepperrun.dataplane.numbering`.
    quota_window_s: float = 5
    # Fraction above a tenant's quota that may be served in a window.
    quota_excess: float = 0.1
    # Requests above this that may be served in a window.
    quota_slack: float = 0
    # Factor of `cold_per_s`, the requests per second that a worker may get from all while it warms up.
    cold_excess: float = 1.0
    # Requests above this that the worker may get in any second.
    cold_slack: float = 0
    # Only judged: time after which an evacuated zone no longer gets requests.
    evacuation_ms: float = 5000
    # Longest time to live of the directory's answers.
    ttl_max_s: float = 5
    # Accepted, not used.
    readdress_after_s: float = 2


@dataclass(frozen=True)
class Tariffs:
    """The rules in force and their limits."""

    # Accepted, not used.
    terms_in_force: list[str] = field(default_factory=list)
    withstand: Withstand = field(default_factory=Withstand)
    bounds: Bounds = field(default_factory=Bounds)


@dataclass(frozen=True)
class Settings:
    """All settings of a process. `me` is the table `self` of the file."""

    me: Self
    network: Network
    carrier: Carrier = field(default_factory=Carrier)
    tariffs: Tariffs = field(default_factory=Tariffs)

    def listen_address(self, name: str) -> Address | None:
        """Return the address at which this process serves `name`, or None if it does not serve it."""
        text = self.network.postboxes.get(name)
        return parse_address(text) if text is not None else None

    @property
    def internal_address(self) -> Address:
        """Address at which other processes of the system reach this one, by TCP and by UDP."""
        return self.me.ip, self.network.sidings[0]

    def contacts(self) -> list[Address]:
        """Return the internal addresses of the first contacts. All machines use the same internal port."""
        return [(parse_address(text)[0], self.network.sidings[0]) for text in self.network.first_contacts]


def parse_address(text: str) -> Address:
    """Return the host and port of `host:port`.

    Raises
    ------
    PepperrunError
        The text is not `host:port` with a port from 1 to 65535 and a host that can be looked up.
    """
    host, _, port = text.rpartition(":")
    if not _may_be_host(host) or not port.isdigit() or not 0 < int(port) < 65536:
        raise PepperrunError("bad-address", "settings", f"{text!r} is not an address of the form host:port")
    return host, int(port)


def _may_be_host(text: str) -> bool:
    """Whether a look-up takes the text; for other texts it raises errors that are no OSError."""
    try:
        return bool(text.encode("idna")) and "\0" not in text
    except UnicodeError:
        return False


def parse(data: Any) -> Settings:
    """Return the settings in the tables of a file.

    Raises
    ------
    PepperrunError
        A field is missing or invalid; the error names it.
    """
    if not isinstance(data, dict):
        raise PepperrunError("bad-settings", "settings", "the file is not a mapping of tables")
    tables = {("me" if key == "self" else key): value for key, value in data.items()}
    config = dacite.Config(type_hooks={float: float})
    try:
        settings = dacite.from_dict(Settings, tables, config)
    except (dacite.DaciteError, TypeError, ValueError) as error:
        raise PepperrunError("bad-settings", "settings", str(error)) from None
    if len(settings.network.sidings) != 2:
        raise PepperrunError(
            "bad-settings", "settings", "network.sidings must be the first and the last port of a range"
        )
    for text in [*settings.network.first_contacts, *settings.network.postboxes.values()]:
        parse_address(text)
    return settings


def load(path: str | None = None) -> Settings:
    """Read the settings file at `path`, by default the one that PEPPERRUN_NODE_FILE names.

    Raises
    ------
    PepperrunError
        The file cannot be read or is invalid.
    """
    where = path if path is not None else os.environ.get("PEPPERRUN_NODE_FILE", "/etc/pepperrun/node.yaml")
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        data = yaml.load(Path(where).read_text(), loader)  # a safe loader; the C version if available
    except (OSError, yaml.YAMLError) as error:
        raise PepperrunError("bad-settings", "settings", f"{where}: {error}") from None
    return parse(data)
