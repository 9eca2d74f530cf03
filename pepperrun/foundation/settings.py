"""The settings file of a process, read and checked by dacite. Unknown fields are ignored.

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

    cpu_share: float = 1.0
    cores: int = 1
    memory_mb: float = 0
    file_handles: int = 0
    link_mbps: float = 0.0
    disk_mb: float = 0


@dataclass(frozen=True)
class Self:
    """This process and its machine: table `self` of the file."""

    station: str
    role: str
    ip: str
    zone: str
    region: str
    carries: list[str] = field(default_factory=list)
    counted: bool = False
    first_run: bool = False
    store_dir: str | None = None
    limits: Limits = field(default_factory=Limits)


@dataclass(frozen=True)
class Network:
    """Addresses and ports: those served here, the internal ports, and the control nodes to contact first."""

    sidings: list[int]
    first_contacts: list[str]
    postboxes: dict[str, str] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)  # region of each zone


@dataclass(frozen=True)
class Carrier:
    """Heartbeats of workers."""

    beat_ms: float = 1500


@dataclass(frozen=True)
class Withstand:
    """Failures at one time that the system must tolerate."""

    vehicles: int = 1
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True)
class Bounds:
    """Limits that the rules set; `_ms` is in milliseconds, `_s` in seconds."""

    contact_ms: float = 4000
    receipt_ms: float = 6000
    catch_up_s: float = 4
    drain_ms: float = 3000
    grace_s: float = 6
    edition_ms: float = 3000
    revert_slack_ms: float = 250
    stretch_ms: float = 8000
    revocation_total: bool = False
    revoke_ms: float = 5000
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 0
    quota_window_s: float = 5
    quota_excess: float = 0.1
    quota_slack: float = 0
    cold_excess: float = 1.0
    cold_slack: float = 0
    evacuation_ms: float = 5000
    ttl_max_s: float = 5
    readdress_after_s: float = 2


@dataclass(frozen=True)
class Tariffs:
    """The rules in force and their limits."""

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
        The text is not `host:port` with a port from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise PepperrunError("bad-address", "settings", f"{text!r} is not an address of the form host:port")
    return host, int(port)


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
