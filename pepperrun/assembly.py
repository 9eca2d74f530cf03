"""Puts the parts of a gatekeeper together: cores, fronts, the watch on discovery and the second address."""

from __future__ import annotations

import asyncio
import os
import random
import re
import resource
import socket
import stat
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from pepperrun.admin.commands import CommandHandler, Metric
from pepperrun.admin.core_metrics import core_metrics
from pepperrun.admin.server import AdminServer
from pepperrun.config import Address, AuthConfig, Config, EndpointList, UnusableError
from pepperrun.core.clock import SECOND
from pepperrun.core.interface import ListKind, Settings
from pepperrun.fronts.forward_auth import AuthService, ForwardAuth, classify_auth_response
from pepperrun.fronts.platform import Platform
from pepperrun.gatekeeper import Clock, Gatekeeper
from pepperrun.handover.channel import socket_path
from pepperrun.handover.predecessor import Predecessor
from pepperrun.handover.successor import Successor
from pepperrun.log import log_message
from pepperrun.net.backoff import Backoff, LocalAgentBackoff
from pepperrun.net.connection import ResponseClassifier
from pepperrun.net.directory import Directory
from pepperrun.net.discovery import Discovery
from pepperrun.net.listener import Listener
from pepperrun.net.peers import Peers, open_peers
from pepperrun.net.stream import MemoryBudget
from pepperrun.net.upstream import UpstreamClient, platform_classifier

if TYPE_CHECKING:
    from pepperrun.membership.config import MembershipConfig
    from pepperrun.membership.service import MembershipService
    from pepperrun.parking.config import ClientsConfig
    from pepperrun.parking.lot import Lot

PEER_RETRY_INTERVAL_S = 0.5  # between tries for an address that another process still has
CoreAndListener = tuple["Core", "Listener | None"]
RESERVED_DESCRIPTORS = (
    24  # descriptors that are not connections of clients or to backends: files, listeners, the loop's
)


class Core:
    """A gatekeeper with the backends before which it stands."""

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        seed: int,
        zones: tuple[str, ...],
        classifier: ResponseClassifier,
        max_backend_connections: int,
        keepalive_ns: int,
        connect_timeout_ns: int,
        budget: MemoryBudget | None = None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.peers: Peers | None = None
        self.membership: MembershipService | None = None
        self.retry_tasks: set[asyncio.Task[None]] = set()
        self.settings = settings
        self.gatekeeper = Gatekeeper(settings, seed, clock, loop, self._send_to_peer, log=self._log)
        self.directory = Directory(zones, clock.from_unix_ms)
        on_ended = self.gatekeeper.attempt_ended
        self.upstream = UpstreamClient(
            loop,
            clock,
            self.directory,
            on_ended,
            classifier,
            max_backend_connections,
            keepalive_ns,
            connect_timeout_ns,
            budget,
        )
        self.gatekeeper.backends = self.upstream

    def _log(self, text: str) -> None:
        """A line of the gateway, with the backend's name in place of its number."""
        names = self.directory.names

        def name(match: re.Match[str]) -> str:
            return f"backend {names.get(int(match[1]), match[1])}"

        log_message("gateway", re.sub(r"backend (\d+)", name, text))

    def _send_to_peer(self, peer: int, data: bytes) -> None:
        if self.peers is not None:
            self.peers.send(peer, data)

    async def open_peers(
        self,
        listen: Address | None,
        peers: tuple[Address, ...],
        fd: int | None = None,
        retry: bool = False,
    ) -> None:
        """Listens for messages of the other gatekeepers, by `fd` where another process gave its socket.

        `retry`: another process may have the address still; tries again until it is free.
        """
        if listen is None or not self.settings.peer_messages:
            if fd is not None:
                os.close(fd)
            return
        try:
            self.peers = await open_peers(
                listen, peers, self.settings.me, self.gatekeeper.peer_message_received, fd
            )
        except OSError as error:
            if not retry:
                raise
            log_message("peers", f"peers can't be heard yet: {error}")
            task = asyncio.get_running_loop().create_task(self._retry_open_peers(listen, peers))
            self.retry_tasks.add(task)
            task.add_done_callback(self.retry_tasks.discard)

    async def _retry_open_peers(self, listen: Address, peers: tuple[Address, ...]) -> None:
        while self.peers is None:
            await asyncio.sleep(PEER_RETRY_INTERVAL_S)
            try:
                self.peers = await open_peers(
                    listen, peers, self.settings.me, self.gatekeeper.peer_message_received
                )
            except OSError as error:
                log_message("peers", f"peers can't be heard yet: {error}")
        if self.membership is not None:
            self.peers.on_membership = self.membership.on_datagram

    def apply_endpoint_list(self, endpoint_list: EndpointList, kind: ListKind | None = None) -> None:
        """Takes in a list of backends."""
        kind = kind or (ListKind.FULL if endpoint_list.full else ListKind.DELTA)
        self.gatekeeper.backend_list_received(self.directory.apply(endpoint_list, kind))
        self.upstream.on_endpoints_changed()


def split_sockets(limit: int) -> tuple[int, int]:
    """Connections of clients and to backends, at most, within the limit on descriptors.

    Clients that ask hold a third of them at most; the rest of the clients' half is for those that do not.
    """
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if soft != resource.RLIM_INFINITY:
        limit = min(limit, soft)
    return (limit - RESERVED_DESCRIPTORS) // 2, (limit - RESERVED_DESCRIPTORS) // 2


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
    here = max(16, limit - RESERVED_DESCRIPTORS - backends - auth_sockets // 2 - config.holders)
    if config.most_here:
        here = min(here, config.most_here)
    return Lot(asyncio.get_running_loop(), clock, config, here), backends


async def start_auth(
    config: AuthConfig, clock: Clock, seed: int, lot: Lot | None = None
) -> tuple[Core, AuthService, Listener | None]:
    """The core before the authentication servers and, where configured, its front."""
    max_clients, max_backends = config.sockets // 2, config.sockets // 2
    core = Core(
        clock,
        config.settings,
        seed,
        (),
        classify_auth_response,
        max_backends,
        config.keepalive_ns,
        config.connect_timeout_ns,
    )
    core.apply_endpoint_list(config.servers, ListKind.CACHED)
    await core.open_peers(config.peer_listen, config.peers)
    service = AuthService(config, core.gatekeeper, clock)
    if config.listen is None:
        return core, service, None
    make = ForwardAuth(service).new_connection
    return (
        core,
        service,
        open_listener("forward authentication", config.listen, clock, max_clients, make, lot),
    )


async def start_platform(
    config: Config,
    clock: Clock,
    sockets: int,
    auth: AuthService | None,
    lot: Lot | None = None,
    backends: int = 0,
    inherited: socket.socket | None = None,
    successor: Successor | None = None,
    watch: DiscoveryWatch | None = None,
) -> tuple[Core, Listener]:
    """The core before the workers and the platform's front."""
    max_clients, max_backends = split_sockets(sockets) if lot is None else (0, backends)
    budget = MemoryBudget.from_memory_limit(config.memory_mb)
    core = Core(
        clock,
        config.settings,
        config.seed,
        config.zones,
        platform_classifier(config.settings.max_units),
        max_backends,
        config.keepalive_ns,
        config.connect_timeout_ns,
        budget,
    )
    core.apply_endpoint_list(config.known, ListKind.CACHED)
    if successor is not None:
        endpoint_list = successor.endpoint_list()
        if endpoint_list is not None and endpoint_list.endpoints:
            core.apply_endpoint_list(endpoint_list, ListKind.FULL)
        successor.restore(core.gatekeeper)
    fd = successor.peer_socket_fd if successor is not None else None
    await core.open_peers(config.peer_listen, config.peers, fd, retry=inherited is not None)
    if watch is not None:
        # What the agent holds counts as told from the start on: nothing is sent before it is asked.
        known = config.known.version if config.known.endpoints else None
        if successor is not None and successor.process_state is not None:
            known = successor.list_version()
        watch.move(config.discovery, core.apply_endpoint_list, discovery_backoff(config), known)
        if successor is None or successor.process_state is None:
            # A drain is to be kept so long after it was told: waiting longer gains nothing and serves nobody.
            await watch.wait_for_first_list(config.settings.drain_grace_ns / SECOND)
    front = Platform(config.settings, core.gatekeeper, clock, auth, budget)
    return core, open_listener(
        config.name, config.listen, clock, max_clients, front.new_connection, lot, inherited
    )


def open_listener(
    name: str,
    address: Address,
    clock: Clock,
    max_clients: int,
    make: Callable[[Listener], asyncio.BufferedProtocol],
    lot: Lot | None = None,
    inherited: socket.socket | None = None,
) -> Listener:
    """A front at its address."""
    if lot is None:
        listener = Listener(asyncio.get_running_loop(), clock, max_clients, make)
    else:
        from pepperrun.parking.listener import ParkingListener

        listener = ParkingListener(asyncio.get_running_loop(), clock, lot, make)
    listener.open(address, inherited)
    log_message(name, f"{name} listens at {listener.address[0]}:{listener.address[1]}")
    return listener


def start_membership(
    config: Config, members: MembershipConfig, core: Core, inherited_state: Any = None
) -> MembershipService:
    """Membership, over the socket of the ordinary messages; `before`: what a process before this one knew."""
    from pepperrun.membership.service import MembershipService

    names = members.names or [f"gatekeeper {number}" for number in range(config.settings.gateways)]
    service = MembershipService(
        members, config.name, names, core.gatekeeper, core._send_to_peer, config.seed, inherited_state
    )
    core.membership = service
    if core.peers is not None:
        core.peers.on_membership = service.on_datagram
    return service


async def open_admin(address: Address, core: Core, listener: Listener) -> AdminServer:
    """The second address: it says yes while clients are taken."""

    def all_metrics() -> Iterator[Metric]:
        yield from core_metrics(core.gatekeeper, core.upstream, core.directory)
        if core.membership is not None:
            yield from core.membership.figures()

    def extra(command: bytes) -> bytes | None:
        if core.membership is not None:
            return core.membership.answer_call(command)
        return b"error membership is off\n" if command.split()[:1] == [b"members"] else None

    handler = CommandHandler(listener.accepts_clients, all_metrics, extra)
    server = AdminServer(asyncio.get_running_loop(), handler)
    await server.open(address)
    return server


def discovery_backoff(config: Config) -> Backoff:
    """When to call discovery: others call it too, but where lists are pushed it is an agent of one's own."""
    if not config.settings.must_ask_for_list:
        return LocalAgentBackoff(config.settings.drain_grace_ns / SECOND)
    return Backoff(config.settings.gateways, random.Random(config.seed))


class DiscoveryWatch:
    """The watch on discovery, which a new configuration may move to another address."""

    def __init__(self) -> None:
        self.address: Address | None = None
        self.task: asyncio.Task[None] | None = None
        self.discovery: Discovery | None = None

    def move(
        self,
        address: Address | None,
        on_list: Callable[[EndpointList], None],
        backoff: Backoff,
        known_version: int | None = None,
        moved: bool = False,
    ) -> None:
        """Watches there from now on, `known_version` and `moved` as `Discovery` has them.

        The last list stands until the new address has sent one.
        """
        if address == self.address:
            return
        self.stop()
        self.address = address
        if address is not None:
            self.discovery = Discovery(address, on_list, backoff, known_version, moved)
            self.task = asyncio.get_running_loop().create_task(self.discovery.run())

    async def wait_for_first_list(self, timeout_s: float) -> None:
        """Until the first call is answered or has failed, for so long at most."""
        if self.discovery is not None:
            try:
                async with asyncio.timeout(timeout_s):
                    await self.discovery.first_call_done.wait()
            except TimeoutError:
                pass

    def stop(self) -> None:
        """Watches no more."""
        if self.task is not None:
            self.task.cancel()
        self.address = self.task = self.discovery = None


def inherited_socket(env: Mapping[str, str]) -> socket.socket | None:
    """The clients' listening socket that the platform holds; UnusableError where what is named is none."""
    text = env.get("NODE_INHERITED_FD")
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 6:
        raise UnusableError(f"NODE_INHERITED_FD: {text!r} is no descriptor")
    number = int(text)
    try:
        if not stat.S_ISSOCK(os.fstat(number).st_mode):
            raise UnusableError(f"NODE_INHERITED_FD: descriptor {number} is no socket")
    except OSError as error:
        raise UnusableError(f"NODE_INHERITED_FD: descriptor {number}: {error.strerror}") from None
    sock = socket.socket(fileno=number)
    stream = sock.type == socket.SOCK_STREAM and sock.family in (socket.AF_INET, socket.AF_INET6)
    if not stream or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()
        raise UnusableError(f"NODE_INHERITED_FD: descriptor {number} does not listen for clients")
    os.set_inheritable(number, False)
    return sock


def handover_path(name: str, env: Mapping[str, str]) -> Path | None:
    """Where this gatekeeper's processes meet; None, with a line, where there is no such place."""
    folder = env.get("TMPDIR")
    if not folder:
        log_message("hand-over", "no hand-over: TMPDIR is not set")
        return None
    try:
        return socket_path(folder, name)
    except ValueError as error:
        log_message("hand-over", f"no hand-over: {error}")
        return None


async def request_handover(path: Path | None) -> Successor | None:
    """The process that serves until now, asked for what it knows."""
    if path is None:
        return None
    successor = Successor()
    await successor.request_state(path)
    return successor


def await_successor(path: Path, core: Core, listener: Listener, watch: DiscoveryWatch) -> Predecessor:
    """Waits for the process that is to take this one's place."""

    def export_process_state() -> dict[str, Any]:
        version = watch.discovery.version if watch.discovery is not None else None
        endpoint_list = {"version": version or 0, "full": True, "servers": core.directory.discovery_rows()}
        known = {"list": endpoint_list, "known": version is not None, "peers": core.peers is not None}
        return known | ({"members": core.membership.export_state()} if core.membership is not None else {})

    return Predecessor(
        path, core.gatekeeper, core.upstream, listener, lambda: core.peers, export_process_state
    )
