"""Runs a gatekeeper process: reads its files, starts its components, reloads at SIGHUP, drains at SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import secrets
import signal
import sys
from collections.abc import Mapping
from dataclasses import fields, replace
from pathlib import Path
from typing import TYPE_CHECKING

from pepperrun.admin.server import MAX_DESCRIPTORS, AdminServer
from pepperrun.assembly import (
    DiscoveryWatch,
    GatekeeperParts,
    PartsAndListener,
    await_successor,
    create_parking,
    discovery_backoff,
    handover_path,
    inherited_socket,
    open_admin,
    request_handover,
    start_auth,
    start_membership,
    start_platform,
)
from pepperrun.config import AuthConfig, Config, UnusableError, read_auth, read_config
from pepperrun.core.clock import SECOND
from pepperrun.core.interface import ListKind, RequestClass
from pepperrun.gatekeeper import Clock
from pepperrun.log import enable_json, log_message
from pepperrun.net.listener import Listener

if TYPE_CHECKING:
    from pepperrun.capture.recorder import Recorder
    from pepperrun.handover.predecessor import Predecessor
    from pepperrun.membership.config import MembershipConfig
    from pepperrun.metrics import MetricsConfig, Reporter, Sample
    from pepperrun.parking.config import ClientsConfig
    from pepperrun.parking.manager import ParkingManager

OPTIONS = ("--forward-auth", "--metrics", "--clients", "--log-format", "--capture", "--members")
# For the lab, a clock with an offset in seconds: `S`, or `S@T` for a step after T seconds.
TEST_OPTIONS = ("--clock-offset",)
USAGE = (
    "usage: pepperrun [--forward-auth FILE] [--metrics FILE] [--clients FILE] [--capture DIR]"
    " [--members FILE] [--log-format text|json], or pepperrun --help"
)
MAX_CAPTURE_FILES = 100  # the newest files that are kept of a gatekeeper
DRAIN_MARGIN_S = 1.0  # added to the longest deadline: requests still arrive after SIGTERM


def create_reporters(
    config: MetricsConfig, instance: str, parts_by_front: dict[str, PartsAndListener]
) -> list[Reporter]:
    """Returns a reporter for each configured metrics sink."""
    from pepperrun.metrics import collectd, gateway_samples, graphite, process_samples

    def collect_samples() -> list[Sample]:
        collected = process_samples()
        for name, (parts, listener) in parts_by_front.items():
            collected += gateway_samples(name, parts.gatekeeper, parts.upstream, listener)
        return collected

    reporters = []
    if config.graphite is not None:
        prefix = f"{config.prefix}.{instance}"
        reporters.append(graphite.reporter(config.graphite, prefix, config.interval_s, collect_samples))
    if config.collectd is not None:
        reporters.append(
            collectd.reporter(config.collectd, config.host, config.prefix, config.interval_s, collect_samples)
        )
    return reporters


def reload_config(
    files: ConfigFiles,
    config: Config | None,
    auth_config: AuthConfig | None,
    parts_by_front: dict[str, PartsAndListener],
    watch: DiscoveryWatch,
    parking: ParkingManager | None = None,
) -> tuple[Config | None, AuthConfig | None]:
    """Reads the files again and returns the configuration in force after that.

    The addresses of discovery and of the authentication servers, the membership keys and some of the clients'
    limits change at once; the log line names the keys that change at the next start. If any file is invalid,
    nothing changes. Requests in flight are not affected.
    """
    try:
        new, new_auth, _, clients = files.read(metrics=False)
        membership = files.membership(config) if config is not None else None
    except (OSError, ValueError) as error:
        log_message("bad reload", f"the new configuration is invalid, the old one stays in force: {error}")
        return config, auth_config
    deferred: list[str] = []
    if config is not None and new is not None:
        deferred += changed_keys(config, new, "seed", "known", "discovery")
        config = replace(config, discovery=new.discovery)
        parts = parts_by_front["platform"][0]
        # All gatekeepers move at once: one that has a list need not be the first to call the new address.
        watch.move(
            new.discovery,
            parts.apply_endpoint_list,
            discovery_backoff(config),
            moved=bool(parts.directory.endpoints),
        )
    if auth_config is not None and new_auth is not None:
        deferred += [f"forward-auth {key}" for key in changed_keys(auth_config, new_auth, "servers")]
        if new_auth.servers != auth_config.servers:
            parts_by_front["auth"][0].apply_endpoint_list(new_auth.servers, ListKind.FULL)
        auth_config = replace(auth_config, servers=new_auth.servers)
    if membership is not None and (service := parts_by_front["platform"][0].membership) is not None:
        service.reload(membership)
    if parking is not None and clients is not None:
        deferred += [f"clients {key}" for key in parking.apply_config(clients)]
    deferred_note = f"; at the next start: {', '.join(deferred)}" if deferred else ""
    log_message("reload", f"applied the new configuration{deferred_note}")
    return config, auth_config


def count_connections(listeners: list[Listener], parking: ParkingManager | None) -> int:
    """Returns the number of open client connections; with a parking manager all listeners share its count."""
    return parking.total() if parking is not None else sum(listener.count() for listener in listeners)


def changed_keys(old: Config | AuthConfig, new: Config | AuthConfig, *ignored: str) -> list[str]:
    """Returns the names of the fields in which two configurations differ, without the ignored ones."""
    names = [field.name for field in fields(old) if field.name not in ignored]
    return [name for name in names if getattr(old, name) != getattr(new, name)]


async def run(files: ConfigFiles) -> None:
    """Serves until SIGTERM or SIGINT, then drains or hands over, and returns."""
    config, auth_config, metrics, clients = files.initial
    loop = asyncio.get_running_loop()
    clock, stop = files.clock, asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    parts_by_front: dict[str, PartsAndListener] = {}
    tasks: list[asyncio.Task[None]] = []
    auth = None
    classes: list[RequestClass] = []
    watch = DiscoveryWatch()
    admin: AdminServer | None = None
    predecessor: Predecessor | None = None
    parking, backends = None, 0
    if clients is not None:
        auth_sockets = auth_config.sockets if auth_config is not None else 0
        # Forward authentication alone has no key for the limit on descriptors: the system's limit applies.
        sockets = config.sockets if config is not None else resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        parking, backends = create_parking(clients, clock, sockets, auth_sockets)
    if auth_config is not None:
        parts, auth, auth_listener = await start_auth(auth_config, clock, secrets.randbits(64), parking)
        parts_by_front["auth"] = parts, auth_listener
        classes += auth_config.settings.classes
    if config is not None:
        sockets = config.sockets - (auth_config.sockets if auth_config is not None else 0)
        sockets -= MAX_DESCRIPTORS if config.admin is not None else 0
        inherited = inherited_socket(os.environ)
        path = handover_path(config.name, os.environ) if inherited is not None else None
        successor = await request_handover(path)
        parts, listener = await start_platform(
            config, clock, sockets, auth, parking, backends, inherited, successor, watch
        )
        parts_by_front["platform"] = parts, listener
        classes += config.settings.classes
        if (membership := files.membership(config)) is not None:
            member_state = (
                successor.process_state.get("members")
                if successor is not None and successor.process_state is not None
                else None
            )
            start_membership(config, membership, parts, member_state)
        if path is not None:
            predecessor = await_successor(path, parts, listener, watch)
        if successor is not None:
            successor.announce_ready(listener, parts.peers)
        if config.admin is not None:
            admin = await open_admin(config.admin, parts, listener)
    if metrics is not None:
        instance = config.name if config is not None else "auth"
        tasks += [
            loop.create_task(reporter.run())
            for reporter in create_reporters(metrics, instance, parts_by_front)
        ]

    def reload() -> None:
        nonlocal config, auth_config
        if not stop.is_set():  # no reload during a drain
            config, auth_config = reload_config(files, config, auth_config, parts_by_front, watch, parking)

    recorders = []
    if files.capture_folder is not None:
        name = config.name if config is not None else "auth"
        for front_name, (parts, _) in parts_by_front.items():
            label = name if front_name == "platform" else f"{name}-auth"
            recorders.append(create_recorder(files.capture_folder, label, parts, clock))

    loop.add_signal_handler(signal.SIGHUP, reload)
    gc.collect()
    gc.freeze()

    await stop.wait()
    listeners = [listener for _, listener in parts_by_front.values() if listener is not None]
    log_message("stop", f"draining {count_connections(listeners, parking)} connections")
    max_deadline_s = max(request_class.deadline_ns for request_class in classes) / SECOND
    if predecessor is not None and await predecessor.finish(max_deadline_s + DRAIN_MARGIN_S):
        listeners.remove(listener)
    for parts, _ in parts_by_front.values():
        if parts.membership is not None:
            parts.membership.leave()
    try:
        async with asyncio.timeout(max_deadline_s + DRAIN_MARGIN_S):
            await asyncio.gather(*(listener.drain() for listener in listeners))
            for listener in listeners:
                while listener.clients:  # each closes after the response to its request
                    await listener.wait_for_change()
    except TimeoutError:
        log_message("stop", "the drain timed out with open connections")
    watch.stop()
    for parts, _ in parts_by_front.values():
        if parts.membership is not None:
            parts.membership.close()
    if admin is not None:
        admin.close()
    for task in tasks:
        task.cancel()
    if parking is not None:
        parking.close()
    for recorder in recorders:
        recorder.close()


def check_capture(folder: str) -> None:
    """Checks that captures can be written to a folder; raises ValueError or OSError if not."""
    try:
        from pepperrun.capture.recorder import load_or_create_key
    except ImportError as error:
        raise ValueError(f"--capture: {error} (pip install 'pepperrun[capture]')") from None
    if not os.path.isdir(folder):
        raise ValueError(f"--capture: {folder} is not a folder")
    load_or_create_key(Path(folder))


def create_recorder(folder: str, name: str, parts: GatekeeperParts, clock: Clock) -> Recorder:
    """Starts to record a gatekeeper's requests in the folder; workers appear with their names and zones."""
    from pepperrun.capture.recorder import Recorder, load_or_create_key, rotating_files

    directory = parts.directory

    def name_and_zone(backend: int) -> tuple[str, str]:
        endpoint = directory.endpoints.get(backend)
        return directory.names.get(backend, str(backend)), endpoint.zone if endpoint is not None else ""

    path = Path(folder)
    recorder = Recorder(
        parts.settings,
        name,
        load_or_create_key(path),
        name_and_zone,
        rotating_files(path, name, MAX_CAPTURE_FILES),
        clock,
    )
    parts.gatekeeper.observer = recorder.record
    return recorder


# The configuration of the platform, forward authentication, metrics and client connections.
ReadConfigs = tuple["Config | None", "AuthConfig | None", "MetricsConfig | None", "ClientsConfig | None"]


def clock_with_offset(text: str | None) -> Clock:
    """Returns the clock, for the lab with an offset; raises ValueError if the text is not an offset."""
    clock = Clock()
    if text is not None:
        offset, _, after = text.partition("@")
        try:
            clock.schedule_jump(float(offset), float(after or 0))
        except (ValueError, OverflowError):
            raise ValueError(f"--clock-offset: {text!r} is not SECONDS or SECONDS@AFTER") from None
    return clock


class ConfigFiles:
    """The options, and the configuration at the start; raises ValueError for invalid arguments or files."""

    def __init__(self, arguments: list[str], env: Mapping[str, str]) -> None:
        options = dict(zip(arguments[::2], arguments[1::2], strict=False))
        if len(arguments) != 2 * len(options) or not options.keys() <= {*OPTIONS, *TEST_OPTIONS}:
            raise ValueError(USAGE)
        self.env, self.config_path = env, env.get("NODE_CONFIG")
        (
            self.auth_path,
            self.metrics_path,
            self.clients_path,
            log_format,
            self.capture_folder,
            self.membership_path,
        ) = map(options.get, OPTIONS)
        self.clock = clock_with_offset(options.get("--clock-offset"))
        if log_format not in (None, "text", "json"):
            raise ValueError(f"--log-format: {log_format!r} is neither text nor json")
        if log_format == "json":
            enable_json()
        self.initial = self.read()
        if self.capture_folder is not None:
            check_capture(self.capture_folder)

    def read(self, metrics: bool = True) -> ReadConfigs:
        """Returns the current content of the files; without `metrics` the metrics file is not read."""

        def text(path: str) -> str:
            with open(path, encoding="utf-8") as file:
                return file.read()

        auth = read_auth(text(self.auth_path)) if self.auth_path else None
        metrics_config = None
        if self.metrics_path and metrics:
            # Imported only where configured: imports slow the start down.
            from pepperrun.metrics import read_metrics

            metrics_config = read_metrics(text(self.metrics_path))
        clients = None
        if self.clients_path:
            from pepperrun.parking.config import read_clients

            try:
                clients = read_clients(text(self.clients_path))
            except ValueError as error:
                raise ValueError(f"{self.clients_path}: {error}") from None
        config = read_config(text(self.config_path), self.env) if self.config_path else None
        if config is not None:
            self.membership(config)
        if config is None and auth is None:
            raise ValueError("NODE_CONFIG: not set")
        if config is None and auth is not None and auth.listen is None:
            raise ValueError("listen: missing, and NODE_CONFIG is not set")
        return config, auth, metrics_config, clients

    def membership(self, config: Config) -> MembershipConfig | None:
        """Returns the membership configuration, None where membership is off.

        Raises ValueError if the configuration is invalid or lacks what membership needs.
        """
        if self.membership_path is None and config.members is None:
            return None
        from pepperrun.membership.config import (  # imported only where configured
            membership_from_json,
            membership_from_table,
        )

        if self.membership_path is not None:
            path = Path(self.membership_path)
            try:
                membership = membership_from_json(path.read_text(encoding="utf-8"), path.parent)
            except ValueError as error:
                raise ValueError(f"{path}: {error}") from None
        else:
            membership = membership_from_table(config.members or {}, Path(self.config_path or "").parent)
        membership.load_keys()
        if config.peer_listen is None or not config.settings.peer_messages:
            raise ValueError("members: peer_listen is missing, or the settings allow no peer messages")
        return membership


def serve(arguments: list[str]) -> int:
    """Reads the configuration, runs a gatekeeper and returns the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # a SIGHUP during the start must not end the process
    try:
        files = ConfigFiles(arguments, os.environ)
    except (OSError, ValueError) as error:
        print(f"pepperrun: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(run(files))
    except UnusableError as error:
        print(f"pepperrun: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"pepperrun: {error}", file=sys.stderr)
        return 1
    return 0
