"""The real gatekeeper: puts the parts together and runs until it is told to end."""

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
    Core,
    CoreAndListener,
    DiscoveryWatch,
    await_successor,
    discovery_backoff,
    handover_path,
    inherited_socket,
    make_lot,
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
    from pepperrun.parking.lot import Lot

OPTIONS = ("--forward-auth", "--metrics", "--clients", "--log-format", "--capture", "--members")
TEST_OPTIONS = (
    "--clock-offset",
)  # for the lab: a clock that is off, `S` or `S@T` for a step after T seconds
USAGE = (
    "usage: pepperrun [--forward-auth FILE] [--metrics FILE] [--clients FILE] [--capture DIR]"
    " [--members FILE] [--log-format text|json], or pepperrun --help"
)
MAX_CAPTURE_FILES = 100  # files of a gatekeeper that are kept
DRAIN_MARGIN_S = 1.0  # after the longest deadline: the last requests come a while after SIGTERM


def create_reporters(
    config: MetricsConfig, instance: str, parts: dict[str, CoreAndListener]
) -> list[Reporter]:
    """Where the figures go."""
    from pepperrun.metrics import collectd, graphite, process_samples, samples

    def collect_samples() -> list[Sample]:
        all_samples = process_samples()
        for name, (core, listener) in parts.items():
            all_samples += samples(name, core.gatekeeper, core.upstream, listener)
        return all_samples

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
    parts: dict[str, CoreAndListener],
    watch: DiscoveryWatch,
    lot: Lot | None = None,
) -> tuple[Config | None, AuthConfig | None]:
    """Reads the files anew and gives what is in force: where discovery is and whom to ask change at once.

    A file that is no good changes nothing, nor does one for which another file is no good. What is in flight
    is never touched.
    """
    try:
        new, new_auth, _, clients = files.read(metrics=False)
    except (OSError, ValueError) as error:
        log_message("bad reload", f"the new configuration is no good, the old one stays in force: {error}")
        return config, auth_config
    deferred: list[str] = []
    if config is not None and new is not None:
        deferred += changed_keys(config, new, "seed", "known", "discovery")
        config = replace(config, discovery=new.discovery)
        core = parts["platform"][0]
        # All gatekeepers are moved at once: with a list in hand none needs to be the first there.
        watch.move(
            new.discovery,
            core.apply_endpoint_list,
            discovery_backoff(config),
            moved=bool(core.directory.endpoints),
        )
    if auth_config is not None and new_auth is not None:
        deferred += [f"forward-auth {key}" for key in changed_keys(auth_config, new_auth, "servers")]
        if new_auth.servers != auth_config.servers:
            parts["auth"][0].apply_endpoint_list(new_auth.servers, ListKind.FULL)
        auth_config = replace(auth_config, servers=new_auth.servers)
    if config is not None and (service := parts["platform"][0].membership) is not None:
        membership = files.membership(config)
        if membership is not None:
            service.reload(membership)
    if lot is not None and clients is not None:
        deferred += [f"clients {key}" for key in lot.follow(clients)]
    deferred_note = f"; at the next start: {', '.join(deferred)}" if deferred else ""
    log_message("reload", f"took in the new configuration{deferred_note}")
    return config, auth_config


def count_connections(listeners: list[Listener], lot: Lot | None) -> int:
    """Connections that are up; fronts that park theirs share one count."""
    return lot.total() if lot is not None else sum(listener.count() for listener in listeners)


def changed_keys(old: Config | AuthConfig, new: Config | AuthConfig, *ignored: str) -> list[str]:
    """The keys in which two configurations differ."""
    names = [field.name for field in fields(old) if field.name not in ignored]
    return [name for name in names if getattr(old, name) != getattr(new, name)]


async def run(files: ConfigFiles) -> None:
    """Serves until SIGTERM or SIGINT, then drains."""
    config, auth_config, metrics, clients = files.initial
    loop = asyncio.get_running_loop()
    clock, stop = files.clock, asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    parts: dict[str, CoreAndListener] = {}
    tasks: list[asyncio.Task[None]] = []
    auth = None
    classes: list[RequestClass] = []
    watch = DiscoveryWatch()
    admin: AdminServer | None = None
    predecessor: Predecessor | None = None
    lot, backends = None, 0
    if clients is not None:
        auth_sockets = auth_config.sockets if auth_config is not None else 0
        # Forward authentication alone has no key for the process's limit: the system's is what there is.
        sockets = config.sockets if config is not None else resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        lot, backends = make_lot(clients, clock, sockets, auth_sockets)
    if auth_config is not None:
        core, auth, auth_listener = await start_auth(auth_config, clock, secrets.randbits(64), lot)
        parts["auth"] = core, auth_listener
        classes += auth_config.settings.classes
    if config is not None:
        sockets = config.sockets - (auth_config.sockets if auth_config is not None else 0)
        sockets -= MAX_DESCRIPTORS if config.admin is not None else 0
        inherited = inherited_socket(os.environ)
        path = handover_path(config.name, os.environ) if inherited is not None else None
        successor = await request_handover(path)
        core, listener = await start_platform(
            config, clock, sockets, auth, lot, backends, inherited, successor, watch
        )
        parts["platform"] = core, listener
        classes += config.settings.classes
        if (membership := files.membership(config)) is not None:
            member_state = (
                successor.process_state.get("members")
                if successor is not None and successor.process_state is not None
                else None
            )
            start_membership(config, membership, core, member_state)
        if path is not None:
            predecessor = await_successor(path, core, listener, watch)
        if successor is not None:
            successor.announce_ready(listener, core.peers)
        if config.admin is not None:
            admin = await open_admin(config.admin, core, listener)
    if metrics is not None:
        instance = config.name if config is not None else "auth"
        tasks += [loop.create_task(reporter.run()) for reporter in create_reporters(metrics, instance, parts)]

    def reload() -> None:
        nonlocal config, auth_config
        if not stop.is_set():  # a drain goes on with what it has
            config, auth_config = reload_config(files, config, auth_config, parts, watch, lot)

    recorders = []
    if files.capture is not None:
        name = config.name if config is not None else "auth"
        for part, (core, _) in parts.items():
            label = name if part == "platform" else f"{name}-auth"
            recorders.append(create_recorder(files.capture, label, core, clock))

    loop.add_signal_handler(signal.SIGHUP, reload)
    gc.collect()
    gc.freeze()

    await stop.wait()
    listeners = [listener for _, listener in parts.values() if listener is not None]
    log_message("stop", f"drains {count_connections(listeners, lot)} connections")
    longest_s = max(kind.deadline_ns for kind in classes) / SECOND
    if predecessor is not None and await predecessor.finish(longest_s + DRAIN_MARGIN_S):
        listeners.remove(listener)
    for core, _ in parts.values():
        if core.membership is not None:
            core.membership.leave()
    try:
        async with asyncio.timeout(longest_s + DRAIN_MARGIN_S):
            await asyncio.gather(*(listener.drain() for listener in listeners))
            for listener in listeners:
                while listener.clients:  # each closes once its request has its answer
                    await listener.wait_for_change()
    except TimeoutError:
        log_message("stop", "connections were still open at the end")
    watch.stop()
    for core, _ in parts.values():
        if core.membership is not None:
            core.membership.close()
    if admin is not None:
        admin.close()
    for task in tasks:
        task.cancel()
    if lot is not None:
        lot.close()
    for recorder in recorders:
        recorder.close()


def check_capture(folder: str) -> None:
    """Captures can be written there; ValueError or OSError where not."""
    try:
        from pepperrun.capture.recorder import key_of
    except ImportError as error:
        raise ValueError(f"--capture: {error} (pip install 'pepperrun[capture]')") from None
    if not os.path.isdir(folder):
        raise ValueError(f"--capture: {folder} is no folder")
    key_of(Path(folder))


def create_recorder(folder: str, name: str, core: Core, clock: Clock) -> Recorder:
    """Writes what a core takes into the folder; what is known of a worker is its name and zone."""
    from pepperrun.capture.recorder import Recorder, files_in, key_of

    directory = core.directory

    def name_and_zone(backend: int) -> tuple[str, str]:
        endpoint = directory.endpoints.get(backend)
        return directory.names.get(backend, str(backend)), endpoint.zone if endpoint is not None else ""

    path = Path(folder)
    recorder = Recorder(
        core.settings, name, key_of(path), name_and_zone, files_in(path, name, MAX_CAPTURE_FILES), clock
    )
    core.gatekeeper.observer = recorder.take
    return recorder


# Of the platform, forward authentication, figures and clients' connections: what was given.
ReadConfigs = tuple["Config | None", "AuthConfig | None", "MetricsConfig | None", "ClientsConfig | None"]


def clock_with_offset(text: str | None) -> Clock:
    """The clock, for the lab one that is off; ValueError on what is no offset."""
    clock = Clock()
    if text is not None:
        offset, _, after = text.partition("@")
        try:
            clock.step(float(offset), float(after or 0))
        except (ValueError, OverflowError):
            raise ValueError(f"--clock-offset: {text!r} is not SECONDS or SECONDS@AFTER") from None
    return clock


class ConfigFiles:
    """Where the configuration is, and what it said at the start; ValueError on bad arguments or files."""

    def __init__(self, arguments: list[str], env: Mapping[str, str]) -> None:
        options = dict(zip(arguments[::2], arguments[1::2], strict=False))
        if len(arguments) != 2 * len(options) or not options.keys() <= {*OPTIONS, *TEST_OPTIONS}:
            raise ValueError(USAGE)
        self.env, self.config = env, env.get("NODE_CONFIG")
        self.auth, self.metrics, self.clients, log_format, self.capture, self.members = map(
            options.get, OPTIONS
        )
        self.clock = clock_with_offset(options.get("--clock-offset"))
        if log_format not in (None, "text", "json"):
            raise ValueError(f"--log-format: {log_format!r} is neither text nor json")
        if log_format == "json":
            enable_json()
        self.initial = self.read()
        if self.capture is not None:
            check_capture(self.capture)

    def read(self, metrics: bool = True) -> ReadConfigs:
        """The files as they are now."""

        def text(path: str) -> str:
            with open(path, encoding="utf-8") as file:
                return file.read()

        auth = read_auth(text(self.auth)) if self.auth else None
        figures = None
        if self.metrics and metrics:
            from pepperrun.metrics import read_metrics  # only where asked for: a start takes its time too

            figures = read_metrics(text(self.metrics))
        clients = None
        if self.clients:
            from pepperrun.parking.config import read_clients

            try:
                clients = read_clients(text(self.clients))
            except ValueError as error:
                raise ValueError(f"{self.clients}: {error}") from None
        config = read_config(text(self.config), self.env) if self.config else None
        if config is not None:
            self.membership(config)
        if config is None and auth is None:
            raise ValueError("NODE_CONFIG: not set")
        if config is None and auth is not None and auth.listen is None:
            raise ValueError("listen: missing, and NODE_CONFIG is not set")
        return config, auth, figures, clients

    def membership(self, config: Config) -> MembershipConfig | None:
        """What switches membership on; None where it is off. ValueError where it can't be."""
        if self.members is None and config.members is None:
            return None
        from pepperrun.membership.config import (  # only where asked for
            membership_from_json,
            membership_from_table,
        )

        if self.members is not None:
            path = Path(self.members)
            try:
                found = membership_from_json(path.read_text(encoding="utf-8"), path.parent)
            except ValueError as error:
                raise ValueError(f"{path}: {error}") from None
        else:
            found = membership_from_table(config.members or {}, Path(self.config or "").parent)
        found.load_keys()
        if config.peer_listen is None or not config.settings.peer_messages:
            raise ValueError("members: peer_listen is missing, or the settings allow no messages")
        return found


def serve(arguments: list[str]) -> int:
    """Reads the configuration and runs a gatekeeper; the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # one that comes too early must not end the program
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
