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
    Part,
    Watch,
    ask_before,
    calls_of,
    inherited_socket,
    make_lot,
    meeting_place,
    open_admin,
    start_auth,
    start_members,
    start_platform,
    wait_for_next,
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
MOST_CAPTURES = 100  # files of a gatekeeper that are kept
OVERTIME_S = 1.0  # after the longest deadline: the last requests come a while after SIGTERM


def reporters(config: MetricsConfig, instance: str, parts: dict[str, Part]) -> list[Reporter]:
    """Where the figures go."""
    from pepperrun.metrics import collectd, graphite, process_samples, samples

    def figures() -> list[Sample]:
        some = process_samples()
        for name, (core, listener) in parts.items():
            some += samples(name, core.gatekeeper, core.servers, listener)
        return some

    out = []
    if config.graphite is not None:
        prefix = f"{config.prefix}.{instance}"
        out.append(graphite.reporter(config.graphite, prefix, config.interval_s, figures))
    if config.collectd is not None:
        out.append(collectd.reporter(config.collectd, config.host, config.prefix, config.interval_s, figures))
    return out


def reloaded(
    files: Files,
    config: Config | None,
    auth_config: AuthConfig | None,
    parts: dict[str, Part],
    watch: Watch,
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
    later: list[str] = []
    if config is not None and new is not None:
        later += changed(config, new, "seed", "known", "discovery")
        config = replace(config, discovery=new.discovery)
        core = parts["platform"][0]
        # All gatekeepers are moved at once: with a list in hand none needs to be the first there.
        watch.move(new.discovery, core.told, calls_of(config), moved=bool(core.directory.endpoints))
    if auth_config is not None and new_auth is not None:
        later += [f"forward-auth {key}" for key in changed(auth_config, new_auth, "servers")]
        if new_auth.servers != auth_config.servers:
            parts["auth"][0].told(new_auth.servers, ListKind.FULL)
        auth_config = replace(auth_config, servers=new_auth.servers)
    if config is not None and (service := parts["platform"][0].members) is not None:
        membership = files.membership(config)
        if membership is not None:
            service.reload(membership)
    if lot is not None and clients is not None:
        later += [f"clients {key}" for key in lot.follow(clients)]
    rest = f"; at the next start: {', '.join(later)}" if later else ""
    log_message("reload", f"took in the new configuration{rest}")
    return config, auth_config


def drained_count(listeners: list[Listener], lot: Lot | None) -> int:
    """Connections that are up; fronts that park theirs share one count."""
    return lot.total() if lot is not None else sum(listener.count() for listener in listeners)


def changed(old: Config | AuthConfig, new: Config | AuthConfig, *but: str) -> list[str]:
    """The keys in which two configurations differ."""
    names = [field.name for field in fields(old) if field.name not in but]
    return [name for name in names if getattr(old, name) != getattr(new, name)]


async def run(files: Files) -> None:
    """Serves until SIGTERM or SIGINT, then drains."""
    config, auth_config, metrics, clients = files.first
    loop = asyncio.get_running_loop()
    clock, stop = files.clock, asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    parts: dict[str, Part] = {}
    tasks: list[asyncio.Task[None]] = []
    auth = None
    classes: list[RequestClass] = []
    watch = Watch()
    admin: AdminServer | None = None
    after: Predecessor | None = None
    lot, backends = None, 0
    if clients is not None:
        held = auth_config.sockets if auth_config is not None else 0
        # Forward authentication alone has no key for the process's limit: the system's is what there is.
        sockets = config.sockets if config is not None else resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        lot, backends = make_lot(clients, clock, sockets, held)
    if auth_config is not None:
        core, auth, answering = await start_auth(auth_config, clock, secrets.randbits(64), lot)
        parts["auth"] = core, answering
        classes += auth_config.settings.classes
    if config is not None:
        sockets = config.sockets - (auth_config.sockets if auth_config is not None else 0)
        sockets -= MAX_DESCRIPTORS if config.admin is not None else 0
        shared = inherited_socket(os.environ)
        place = meeting_place(config.name, os.environ) if shared is not None else None
        before = await ask_before(place)
        core, listener = await start_platform(
            config, clock, sockets, auth, lot, backends, shared, before, watch
        )
        parts["platform"] = core, listener
        classes += config.settings.classes
        if (membership := files.membership(config)) is not None:
            known = before.table.get("members") if before is not None and before.table is not None else None
            start_members(config, membership, core, known)
        if place is not None:
            after = wait_for_next(place, core, listener, watch)
        if before is not None:
            before.yes(listener, core.peers)
        if config.admin is not None:
            admin = await open_admin(config.admin, core, listener)
    if metrics is not None:
        instance = config.name if config is not None else "auth"
        tasks += [loop.create_task(reporter.run()) for reporter in reporters(metrics, instance, parts)]

    def reload() -> None:
        nonlocal config, auth_config
        if not stop.is_set():  # a drain goes on with what it has
            config, auth_config = reloaded(files, config, auth_config, parts, watch, lot)

    recorders = []
    if files.capture is not None:
        name = config.name if config is not None else "auth"
        for part, (core, _) in parts.items():
            label = name if part == "platform" else f"{name}-auth"
            recorders.append(recorder_of(files.capture, label, core, clock))

    loop.add_signal_handler(signal.SIGHUP, reload)
    gc.collect()
    gc.freeze()

    await stop.wait()
    listeners = [listener for _, listener in parts.values() if listener is not None]
    log_message("stop", f"drains {drained_count(listeners, lot)} connections")
    longest_s = max(kind.deadline_ns for kind in classes) / SECOND
    if after is not None and await after.finish(longest_s + OVERTIME_S):
        listeners.remove(listener)
    for core, _ in parts.values():
        if core.members is not None:
            core.members.leave()
    try:
        async with asyncio.timeout(longest_s + OVERTIME_S):
            await asyncio.gather(*(listener.drain() for listener in listeners))
            for listener in listeners:
                while listener.clients:  # each closes once its request has its answer
                    await listener.wait_for_change()
    except TimeoutError:
        log_message("stop", "connections were still open at the end")
    watch.stop()
    for core, _ in parts.values():
        if core.members is not None:
            core.members.close()
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


def recorder_of(folder: str, name: str, core: Core, clock: Clock) -> Recorder:
    """Writes what a core takes into the folder; what is known of a worker is its name and zone."""
    from pepperrun.capture.recorder import Recorder, files_in, key_of

    directory = core.directory

    def place(backend: int) -> tuple[str, str]:
        line = directory.endpoints.get(backend)
        return directory.names.get(backend, str(backend)), line.zone if line is not None else ""

    path = Path(folder)
    recorder = Recorder(core.settings, name, key_of(path), place, files_in(path, name, MOST_CAPTURES), clock)
    core.gatekeeper.observer = recorder.take
    return recorder


# Of the platform, forward authentication, figures and clients' connections: what was given.
Read = tuple["Config | None", "AuthConfig | None", "MetricsConfig | None", "ClientsConfig | None"]


def clock_of(text: str | None) -> Clock:
    """The clock, for the lab one that is off; ValueError on what is no offset."""
    clock = Clock()
    if text is not None:
        offset, _, after = text.partition("@")
        try:
            clock.step(float(offset), float(after or 0))
        except (ValueError, OverflowError):
            raise ValueError(f"--clock-offset: {text!r} is not SECONDS or SECONDS@AFTER") from None
    return clock


class Files:
    """Where the configuration is, and what it said at the start; ValueError on bad arguments or files."""

    def __init__(self, arguments: list[str], env: Mapping[str, str]) -> None:
        options = dict(zip(arguments[::2], arguments[1::2], strict=False))
        if len(arguments) != 2 * len(options) or not options.keys() <= {*OPTIONS, *TEST_OPTIONS}:
            raise ValueError(USAGE)
        self.env, self.config = env, env.get("NODE_CONFIG")
        self.auth, self.metrics, self.clients, log_format, self.capture, self.members = map(
            options.get, OPTIONS
        )
        self.clock = clock_of(options.get("--clock-offset"))
        if log_format not in (None, "text", "json"):
            raise ValueError(f"--log-format: {log_format!r} is neither text nor json")
        if log_format == "json":
            enable_json()
        self.first = self.read()
        if self.capture is not None:
            check_capture(self.capture)

    def read(self, metrics: bool = True) -> Read:
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
        files = Files(arguments, os.environ)
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
