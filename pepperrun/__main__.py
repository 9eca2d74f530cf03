"""The real gatekeeper: puts the parts together and runs until it is told to end."""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import sys
from collections.abc import Callable

from pepperrun.config import Address, AuthConfig, Config, Listing, read_auth, read_config
from pepperrun.fronts.forward_auth import AuthService, ForwardAuth, auth_judge
from pepperrun.fronts.platform import Platform
from pepperrun.gatekeeper import Clock, Gatekeeper
from pepperrun.interface import ListKind, Settings
from pepperrun.log import say
from pepperrun.net.directory import Directory
from pepperrun.net.discovery import Discovery
from pepperrun.net.listener import Listener
from pepperrun.net.peers import Peers, open_peers
from pepperrun.net.server_side import Judge, ServerSide, platform_judge

USAGE = "usage: python3 -m pepperrun [--forward-auth FILE]"
RESERVED = 48  # descriptors that are not connections of clients or to backends: files, listeners, the loop's
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
        self.gatekeeper = Gatekeeper(settings, seed, clock, loop, self._tell)
        self.directory = Directory(zones, clock.of_unix_ms)
        ended = self.gatekeeper.ended
        self.servers = ServerSide(
            loop, clock, self.directory, ended, judge, most, keepalive_ns, connect_timeout_ns
        )
        self.gatekeeper.backends = self.servers

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


def split_sockets(limit: int) -> tuple[int, int]:
    """Connections of clients and to backends, at most, within the limit on descriptors."""
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if soft != resource.RLIM_INFINITY:
        limit = min(limit, soft)
    return (limit - RESERVED) * 2 // 5, (limit - RESERVED) * 3 // 5


async def start_auth(config: AuthConfig, clock: Clock, seed: int) -> tuple[AuthService, Listener | None]:
    """The core before the authentication servers and, where configured, its front."""
    most_clients, most = config.sockets * 2 // 5, config.sockets * 3 // 5
    core = Core(
        clock, config.settings, seed, (), auth_judge, most, config.keepalive_ns, config.connect_timeout_ns
    )
    core.told(config.servers, ListKind.CACHED)
    await core.meet(config.peer_listen, config.peers)
    service = AuthService(config, core.gatekeeper, clock)
    if config.listen is None:
        return service, None
    return service, listen(
        "forward authentication", config.listen, clock, most_clients, ForwardAuth(service).make
    )


async def start_platform(
    config: Config, clock: Clock, sockets: int, auth: AuthService | None
) -> tuple[Core, Listener]:
    """The core before the workers and the platform's front."""
    most_clients, most = split_sockets(sockets)
    core = Core(
        clock,
        config.settings,
        config.seed,
        config.zones,
        platform_judge,
        most,
        config.keepalive_ns,
        config.connect_timeout_ns,
    )
    core.told(config.known, ListKind.CACHED)
    await core.meet(config.peer_listen, config.peers)
    front = Platform(config.settings, core.gatekeeper, clock, auth)
    return core, listen(config.name, config.listen, clock, most_clients, front.make)


def listen(
    name: str,
    address: Address,
    clock: Clock,
    most: int,
    make: Callable[[Listener], asyncio.BufferedProtocol],
) -> Listener:
    """A front at its address."""
    listener = Listener(asyncio.get_running_loop(), clock, most, make)
    listener.open(address)
    say(name, f"{name} listens at {listener.address[0]}:{listener.address[1]}")
    return listener


async def run(config: Config | None, auth_config: AuthConfig | None) -> None:
    """Serves until SIGTERM or SIGINT, then drains."""
    loop = asyncio.get_running_loop()
    clock, stop = Clock(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    listeners: list[Listener] = []
    auth = watch = None
    longest_ns = 0
    if auth_config is not None:
        auth, answering = await start_auth(auth_config, clock, int.from_bytes(os.urandom(8), "little"))
        listeners += [answering] if answering is not None else []
        longest_ns = max(kind.deadline_ns for kind in auth_config.settings.classes)
    if config is not None:
        sockets = config.sockets - (auth_config.sockets if auth_config is not None else 0)
        core, listener = await start_platform(config, clock, sockets, auth)
        listeners.append(listener)
        watch = loop.create_task(Discovery(config.discovery, core.told).run())
        longest_ns = max(longest_ns, *(kind.deadline_ns for kind in config.settings.classes))
    gc.collect()
    gc.freeze()

    await stop.wait()
    say("stop", f"drains {sum(len(listener.clients) for listener in listeners)} connections")
    try:
        async with asyncio.timeout(longest_ns / 1e9 + OVERTIME_S):
            await asyncio.gather(*(listener.drain() for listener in listeners))
            for listener in listeners:
                while listener.clients:  # each closes once its request has its answer
                    await listener.changed()
    except TimeoutError:
        say("stop", "connections were still open at the end")
    if watch is not None:
        watch.cancel()


def read_arguments(arguments: list[str]) -> str | None:
    """The forward authentication file, if one is given; ValueError on any other argument."""
    match arguments:
        case []:
            return None
        case ["--forward-auth", path]:
            return path
    raise ValueError(USAGE)


def main(arguments: list[str]) -> int:
    """Reads the configuration and runs; the exit code."""
    path = os.environ.get("NODE_CONFIG")
    config = auth = None
    try:
        auth_path = read_arguments(arguments)
        if auth_path is not None:
            with open(auth_path, encoding="utf-8") as file:
                auth = read_auth(file.read())
        if path:
            with open(path, encoding="utf-8") as file:
                config = read_config(file.read(), os.environ)
        elif auth is None:
            raise ValueError("NODE_CONFIG: not set")
        elif auth.listen is None:
            raise ValueError("listen: missing, and NODE_CONFIG is not set")
    except (OSError, ValueError) as error:
        print(f"pepperrun: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(run(config, auth))
    except OSError as error:
        print(f"pepperrun: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
