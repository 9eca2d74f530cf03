"""The real gatekeeper: puts the parts together and runs until it is told to end."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import re
import resource
import secrets
import signal
import sys
from collections.abc import Callable, Mapping
from dataclasses import fields, replace
from pathlib import Path
from typing import TYPE_CHECKING

from pepperrun.admin.calls import Calls
from pepperrun.admin.figures import figures
from pepperrun.admin.server import DESCRIPTORS
from pepperrun.admin.server import Server as AdminServer
from pepperrun.clock import SECOND
from pepperrun.config import Address, AuthConfig, Config, Listing, UnusableError, read_auth, read_config
from pepperrun.fronts.forward_auth import AuthService, ForwardAuth, auth_judge
from pepperrun.fronts.platform import Platform
from pepperrun.gatekeeper import Clock, Gatekeeper
from pepperrun.interface import ListKind, RequestClass, Settings
from pepperrun.log import json_lines, say
from pepperrun.net.backoff import Backoff
from pepperrun.net.directory import Directory
from pepperrun.net.discovery import Discovery
from pepperrun.net.listener import Listener
from pepperrun.net.peers import Peers, open_peers
from pepperrun.net.server_side import Judge, ServerSide, platform_judge

if TYPE_CHECKING:
    from pepperrun.capture.recorder import Recorder
    from pepperrun.metrics import MetricsConfig, Reporter, Sample
    from pepperrun.parking.config import ClientsConfig
    from pepperrun.parking.lot import Lot

OPTIONS = ("--forward-auth", "--metrics", "--clients", "--log-format", "--capture")
USAGE = (
    "usage: pepperrun [--forward-auth FILE] [--metrics FILE] [--clients FILE] [--capture DIR]"
    " [--log-format text|json], or pepperrun --help"
)
HELP = ("-h", "--help", "--version")
RESERVED = 24  # descriptors that are not connections of clients or to backends: files, listeners, the loop's
MOST_CAPTURES = 100  # files of a gatekeeper that are kept
OVERTIME_S = 1.0  # after the longest deadline: the last requests come a while after SIGTERM


class Core:
    """A gatekeeper with the backends before which it stands."""

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        seed: int,
        zones: tuple[str, ...],
        judge: Judge,
        most: int,
        keepalive_ns: int,
        connect_timeout_ns: int,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.peers: Peers | None = None
        self.settings = settings
        self.gatekeeper = Gatekeeper(settings, seed, clock, loop, self._tell, log=self._log)
        self.directory = Directory(zones, clock.of_unix_ms)
        ended = self.gatekeeper.ended
        self.servers = ServerSide(
            loop, clock, self.directory, ended, judge, most, keepalive_ns, connect_timeout_ns
        )
        self.gatekeeper.backends = self.servers

    def _log(self, text: str) -> None:
        """A line of the gateway, with the backend's name in place of its number."""
        names = self.directory.names

        def name(match: re.Match[str]) -> str:
            return f"backend {names.get(int(match[1]), match[1])}"

        say("gateway", re.sub(r"backend (\d+)", name, text))

    def _tell(self, peer: int, data: bytes) -> None:
        if self.peers is not None:
            self.peers.tell(peer, data)

    async def meet(self, listen: Address | None, peers: tuple[Address, ...]) -> None:
        """Listens for messages of the other gatekeepers."""
        if listen is not None and self.settings.peer_messages:
            self.peers = await open_peers(listen, peers, self.settings.me, self.gatekeeper.heard)

    def told(self, listing: Listing, kind: ListKind | None = None) -> None:
        """Takes in a list of backends."""
        kind = kind or (ListKind.FULL if listing.full else ListKind.DELTA)
        self.gatekeeper.listed(self.directory.take(listing, kind))
        self.servers.listed()


Part = tuple[Core, Listener | None]


def split_sockets(limit: int) -> tuple[int, int]:
    """Connections of clients and to backends, at most, within the limit on descriptors.

    Clients that ask hold a third of them at most; the rest of the clients' half is for those that do not.
    """
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if soft != resource.RLIM_INFINITY:
        limit = min(limit, soft)
    return (limit - RESERVED) // 2, (limit - RESERVED) // 2


def make_lot(config: ClientsConfig, clock: Clock, sockets: int, auth_sockets: int) -> tuple[Lot, int]:
    """Where clients' connections are parked, and how many may lead to workers: a sixth of the descriptors.

    The limit on descriptors is raised as far as the system lets an ordinary user.
    """
    from pepperrun.parking.lot import Lot

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    limit = min(sockets, hard) if hard != resource.RLIM_INFINITY else sockets
    backends = max(16, limit // 6)
    here = max(16, limit - RESERVED - backends - auth_sockets // 2 - config.holders)
    if config.most_here:
        here = min(here, config.most_here)
    return Lot(asyncio.get_running_loop(), clock, config, here), backends


async def start_auth(
    config: AuthConfig, clock: Clock, seed: int, lot: Lot | None = None
) -> tuple[Core, AuthService, Listener | None]:
    """The core before the authentication servers and, where configured, its front."""
    most_clients, most = config.sockets // 2, config.sockets // 2
    core = Core(
        clock, config.settings, seed, (), auth_judge, most, config.keepalive_ns, config.connect_timeout_ns
    )
    core.told(config.servers, ListKind.CACHED)
    await core.meet(config.peer_listen, config.peers)
    service = AuthService(config, core.gatekeeper, clock)
    if config.listen is None:
        return core, service, None
    make = ForwardAuth(service).make
    return core, service, listen("forward authentication", config.listen, clock, most_clients, make, lot)


async def start_platform(
    config: Config,
    clock: Clock,
    sockets: int,
    auth: AuthService | None,
    lot: Lot | None = None,
    backends: int = 0,
) -> tuple[Core, Listener]:
    """The core before the workers and the platform's front."""
    most_clients, most = split_sockets(sockets) if lot is None else (0, backends)
    core = Core(
        clock,
        config.settings,
        config.seed,
        config.zones,
        platform_judge(config.settings.max_units),
        most,
        config.keepalive_ns,
        config.connect_timeout_ns,
    )
    core.told(config.known, ListKind.CACHED)
    await core.meet(config.peer_listen, config.peers)
    front = Platform(config.settings, core.gatekeeper, clock, auth)
    return core, listen(config.name, config.listen, clock, most_clients, front.make, lot)


def listen(
    name: str,
    address: Address,
    clock: Clock,
    most: int,
    make: Callable[[Listener], asyncio.BufferedProtocol],
    lot: Lot | None = None,
) -> Listener:
    """A front at its address."""
    if lot is None:
        listener = Listener(asyncio.get_running_loop(), clock, most, make)
    else:
        from pepperrun.parking.listener import ParkingListener

        listener = ParkingListener(asyncio.get_running_loop(), clock, lot, make)
    listener.open(address)
    say(name, f"{name} listens at {listener.address[0]}:{listener.address[1]}")
    return listener


async def open_admin(address: Address, core: Core, listener: Listener) -> AdminServer:
    """The second address: it says yes while clients are taken."""

    def ready() -> bool:
        return listener.socket is not None and not listener.draining

    calls = Calls(ready, lambda: figures(core.gatekeeper, core.servers, core.directory))
    server = AdminServer(asyncio.get_running_loop(), calls)
    await server.open(address)
    return server


def calls_of(config: Config) -> Backoff:
    """When to call discovery, which the other gatekeepers call too."""
    return Backoff(config.settings.gateways, random.Random(config.seed))


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


class Watch:
    """The watch on discovery, which a new configuration may move to another address."""

    def __init__(self) -> None:
        self.address: Address | None = None
        self.task: asyncio.Task[None] | None = None

    def move(
        self,
        address: Address | None,
        told: Callable[[Listing], None],
        backoff: Backoff,
        known: int | None = None,
        holds: bool = False,
    ) -> None:
        """Watches there from now on, `known` and `holds` as `Discovery` has them.

        The last list stands until the new place has told one.
        """
        if address == self.address:
            return
        self.stop()
        self.address = address
        if address is not None:
            self.task = asyncio.get_running_loop().create_task(
                Discovery(address, told, backoff, known, holds).run()
            )

    def stop(self) -> None:
        """Watches no more."""
        if self.task is not None:
            self.task.cancel()
        self.address = self.task = None


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
        say("bad reload", f"the new configuration is no good, the old one stays in force: {error}")
        return config, auth_config
    later: list[str] = []
    if config is not None and new is not None:
        later += changed(config, new, "seed", "known", "discovery")
        config = replace(config, discovery=new.discovery)
        core = parts["platform"][0]
        # All gatekeepers are moved at once: with a list in hand none needs to be the first there.
        watch.move(new.discovery, core.told, calls_of(config), holds=bool(core.directory.lines))
    if auth_config is not None and new_auth is not None:
        later += [f"forward-auth {key}" for key in changed(auth_config, new_auth, "servers")]
        if new_auth.servers != auth_config.servers:
            parts["auth"][0].told(new_auth.servers, ListKind.FULL)
        auth_config = replace(auth_config, servers=new_auth.servers)
    if lot is not None and clients is not None:
        later += [f"clients {key}" for key in lot.follow(clients)]
    rest = f"; at the next start: {', '.join(later)}" if later else ""
    say("reload", f"took in the new configuration{rest}")
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
    clock, stop = Clock(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    parts: dict[str, Part] = {}
    tasks: list[asyncio.Task[None]] = []
    auth = None
    classes: list[RequestClass] = []
    watch = Watch()
    admin: AdminServer | None = None
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
        sockets -= DESCRIPTORS if config.admin is not None else 0
        core, listener = await start_platform(config, clock, sockets, auth, lot, backends)
        parts["platform"] = core, listener
        if config.admin is not None:
            admin = await open_admin(config.admin, core, listener)
        classes += config.settings.classes
        known = config.known.version if config.known.lines else None
        watch.move(config.discovery, core.told, calls_of(config), known)
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
    say("stop", f"drains {drained_count(listeners, lot)} connections")
    longest_s = max(kind.deadline_ns for kind in classes) / SECOND
    try:
        async with asyncio.timeout(longest_s + OVERTIME_S):
            await asyncio.gather(*(listener.drain() for listener in listeners))
            for listener in listeners:
                while listener.clients:  # each closes once its request has its answer
                    await listener.changed()
    except TimeoutError:
        say("stop", "connections were still open at the end")
    watch.stop()
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
        line = directory.lines.get(backend)
        return directory.names.get(backend, str(backend)), line.zone if line is not None else ""

    path = Path(folder)
    recorder = Recorder(core.settings, name, key_of(path), place, files_in(path, name, MOST_CAPTURES), clock)
    core.gatekeeper.observer = recorder.take
    return recorder


# Of the platform, forward authentication, figures and clients' connections: what was given.
Read = tuple["Config | None", "AuthConfig | None", "MetricsConfig | None", "ClientsConfig | None"]


class Files:
    """Where the configuration is, and what it said at the start; ValueError on bad arguments or files."""

    def __init__(self, arguments: list[str], env: Mapping[str, str]) -> None:
        options = dict(zip(arguments[::2], arguments[1::2], strict=False))
        if len(arguments) != 2 * len(options) or not options.keys() <= set(OPTIONS):
            raise ValueError(USAGE)
        self.env, self.config = env, env.get("NODE_CONFIG")
        self.auth, self.metrics, self.clients, log_format, self.capture = map(options.get, OPTIONS)
        if log_format not in (None, "text", "json"):
            raise ValueError(f"--log-format: {log_format!r} is neither text nor json")
        if log_format == "json":
            json_lines()
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
        if config is None and auth is None:
            raise ValueError("NODE_CONFIG: not set")
        if config is None and auth is not None and auth.listen is None:
            raise ValueError("listen: missing, and NODE_CONFIG is not set")
        return config, auth, figures, clients


def main(arguments: list[str]) -> int:
    """A sub-command, or without one a gatekeeper; the exit code."""
    if not arguments or arguments[0].startswith("-") and arguments[0] not in HELP:
        return serve(arguments)
    try:
        from pepperrun.cli.main import main as command
    except ImportError as error:
        print(f"pepperrun: {arguments[0]}: {error} (pip install 'pepperrun[tools]')", file=sys.stderr)
        return 2
    return command(arguments)


def entry() -> None:
    """The installed command."""
    sys.exit(main(sys.argv[1:]))


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


if __name__ == "__main__":
    entry()
