"""The real gatekeeper: puts the parts together and runs until it is told to end."""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import sys

from pepperrun.config import Config, Listing, read_config
from pepperrun.fronts.platform import Platform
from pepperrun.gatekeeper import Clock, Gatekeeper
from pepperrun.interface import ListKind
from pepperrun.log import say
from pepperrun.net.directory import Directory
from pepperrun.net.discovery import Discovery
from pepperrun.net.listener import Listener
from pepperrun.net.peers import Peers, open_peers
from pepperrun.net.server_side import ServerSide, platform_judge

RESERVED = 48  # descriptors that are not connections of clients or to backends: files, listeners, the loop's
OVERTIME_S = 1.0  # after the longest deadline: the last requests come a while after SIGTERM


def split_sockets(limit: int) -> tuple[int, int]:
    """Connections of clients and to backends, at most, within the limit on descriptors."""
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if soft != resource.RLIM_INFINITY:
        limit = min(limit, soft)
    return (limit - RESERVED) * 2 // 5, (limit - RESERVED) * 3 // 5


async def run(config: Config) -> None:
    """Serves until SIGTERM or SIGINT, then drains."""
    loop = asyncio.get_running_loop()
    clock = Clock()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)

    peers: list[Peers] = []
    gatekeeper = Gatekeeper(
        config.settings,
        config.seed,
        clock,
        loop,
        tell=lambda peer, data: peers[0].tell(peer, data) if peers else None,
    )
    directory = Directory(config.zones, clock.of_unix_ms)
    most_clients, most_backends = split_sockets(config.sockets)
    servers = ServerSide(
        loop,
        clock,
        directory,
        gatekeeper.ended,
        platform_judge,
        most_backends,
        config.keepalive_ns,
        config.connect_timeout_ns,
    )
    gatekeeper.backends = servers

    def told(listing: Listing) -> None:
        gatekeeper.listed(directory.take(listing, ListKind.FULL if listing.full else ListKind.DELTA))
        servers.listed()

    gatekeeper.listed(directory.take(config.known, ListKind.CACHED))
    if config.peer_listen is not None and config.settings.peer_messages:
        peers.append(await open_peers(config.peer_listen, config.peers, config.settings.me, gatekeeper.heard))
    discovery = loop.create_task(Discovery(config.discovery, told).run())
    front = Platform(config.settings, gatekeeper, clock)
    listener = Listener(loop, clock, most_clients, front.make)
    listener.open(config.listen)
    say("start", f"{config.name} listens at {listener.address[0]}:{listener.address[1]}")
    gc.collect()
    gc.freeze()

    await stop.wait()
    say("stop", f"{config.name} drains: {len(gatekeeper.exchanges)} requests to answer")
    longest = max(kind.deadline_ns for kind in config.settings.classes) / 1e9
    try:
        async with asyncio.timeout(longest + OVERTIME_S):
            await listener.drain()
            while listener.clients:  # each closes once its request has its answer
                await listener.changed()
    except TimeoutError:
        say("stop", f"{len(listener.clients)} connections were still open at the end")
    discovery.cancel()
    servers.close()
    listener.close()


def main() -> int:
    """Reads the configuration and runs; the exit code."""
    path = os.environ.get("NODE_CONFIG")
    if not path:
        print("pepperrun: NODE_CONFIG: not set", file=sys.stderr)
        return 2
    try:
        with open(path, encoding="utf-8") as file:
            config = read_config(file.read(), os.environ)
    except (OSError, ValueError) as error:
        print(f"pepperrun: {error}", file=sys.stderr)
        return 2
    asyncio.run(run(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
