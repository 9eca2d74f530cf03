"""Creates and connects the components of a process: gatekeepers, listeners, discovery, admin and handover."""

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
    from pepperrun.parking.manager import ParkingManager

PEER_RETRY_INTERVAL_S = 0.5  # between attempts to bind an address that another process still uses
PartsAndListener = tuple["GatekeeperParts", "Listener | None"]
# Descriptors that are not connections of clients or to backends: files, listeners and the event loop's.
RESERVED_DESCRIPTORS = 24


class GatekeeperParts:
    """A gatekeeper with the connections to its backends, its peers and its membership service."""

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
        """Logs a line of the gateway with backend names in place of backend numbers."""
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
        """Opens the socket for messages of peers, from `fd` if another process handed its socket over.

        Does nothing but close `fd` if peer messages are off. `retry`: another process may still use the
        address; tries again until the address is free.
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
            log_message("peers", f"can't open the socket for peer messages yet: {error}")
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
                log_message("peers", f"can't open the socket for peer messages yet: {error}")
        if self.membership is not None:
            self.peers.on_membership = self.membership.on_datagram

    def apply_endpoint_list(self, endpoint_list: EndpointList, kind: ListKind | None = None) -> None:
        """Applies an endpoint list: the gateway gets it first, then the connections to backends."""
        kind = kind or (ListKind.FULL if endpoint_list.full else ListKind.DELTA)
        self.gatekeeper.backend_list_received(self.directory.apply(endpoint_list, kind))
        self.upstream.on_endpoints_changed()


def split_sockets(limit: int) -> tuple[int, int]:
    """Returns the limits on client and on backend connections: half of the descriptors each.

    Clients with a request in flight use at most a third of the descriptors; the rest of the clients' half is
    for idle ones.
    """
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if soft != resource.RLIM_INFINITY:
        limit = min(limit, soft)
    return (limit - RESERVED_DESCRIPTORS) // 2, (limit - RESERVED_DESCRIPTORS) // 2


def create_parking(
    config: ClientsConfig, clock: Clock, sockets: int, auth_sockets: int
) -> tuple[ParkingManager, int]:
    """Returns the parking manager for idle client connections and the limit on connections to workers.

    The limit is a sixth of the descriptors. Raises the process's soft limit on descriptors to the hard one.
    """
    from pepperrun.parking.manager import ParkingManager

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    limit = min(sockets, hard) if hard != resource.RLIM_INFINITY else sockets
    backends = max(16, limit // 6)
    max_here = max(16, limit - RESERVED_DESCRIPTORS - backends - auth_sockets // 2 - config.holders)
    if config.most_here:
        max_here = min(max_here, config.most_here)
    return ParkingManager(asyncio.get_running_loop(), clock, config, max_here), backends


async def start_auth(
    config: AuthConfig, clock: Clock, seed: int, parking: ParkingManager | None = None
) -> tuple[GatekeeperParts, AuthService, Listener | None]:
    """Starts the gatekeeper for the authentication servers and, where configured, its listener."""
    max_clients, max_backends = config.sockets // 2, config.sockets // 2
    parts = GatekeeperParts(
        clock,
        config.settings,
        seed,
        (),
        classify_auth_response,
        max_backends,
        config.keepalive_ns,
        config.connect_timeout_ns,
    )
    parts.apply_endpoint_list(config.servers, ListKind.CACHED)
    await parts.open_peers(config.peer_listen, config.peers)
    service = AuthService(config, parts.gatekeeper, clock)
    if config.listen is None:
        return parts, service, None
    protocol_factory = ForwardAuth(service).new_connection
    return (
        parts,
        service,
        open_listener("forward authentication", config.listen, clock, max_clients, protocol_factory, parking),
    )


async def start_platform(
    config: Config,
    clock: Clock,
    sockets: int,
    auth: AuthService | None,
    parking: ParkingManager | None = None,
    backends: int = 0,
    inherited: socket.socket | None = None,
    successor: Successor | None = None,
    watch: DiscoveryWatch | None = None,
) -> tuple[GatekeeperParts, Listener]:
    """Starts the gatekeeper for the workers and the platform's listener.

    `successor`: the connection to the predecessor, whose endpoint list and state are applied first.
    """
    max_clients, max_backends = split_sockets(sockets) if parking is None else (0, backends)
    budget = MemoryBudget.from_memory_limit(config.memory_mb)
    parts = GatekeeperParts(
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
    parts.apply_endpoint_list(config.known, ListKind.CACHED)
    if successor is not None:
        endpoint_list = successor.endpoint_list()
        if endpoint_list is not None and endpoint_list.endpoints:
            parts.apply_endpoint_list(endpoint_list, ListKind.FULL)
        successor.restore(parts.gatekeeper)
    fd = successor.peer_socket_fd if successor is not None else None
    await parts.open_peers(config.peer_listen, config.peers, fd, retry=inherited is not None)
    if watch is not None:
        # The agent's list counts as received from the start on: no request is sent before the first call.
        known_version = config.known.version if config.known.endpoints else None
        if successor is not None and successor.process_state is not None:
            known_version = successor.list_version()
        watch.move(config.discovery, parts.apply_endpoint_list, discovery_backoff(config), known_version)
        if successor is None or successor.process_state is None:
            # A drain must take effect within this time of its notification: a longer wait would gain nothing
            # and serve no client.
            await watch.wait_for_first_call(config.settings.drain_grace_ns / SECOND)
    front = Platform(config.settings, parts.gatekeeper, clock, auth, budget)
    return parts, open_listener(
        config.name, config.listen, clock, max_clients, front.new_connection, parking, inherited
    )


def open_listener(
    name: str,
    address: Address,
    clock: Clock,
    max_clients: int,
    protocol_factory: Callable[[Listener], asyncio.BufferedProtocol],
    parking: ParkingManager | None = None,
    inherited: socket.socket | None = None,
) -> Listener:
    """Opens a listener at an address, or on the inherited socket, and logs the address."""
    if parking is None:
        listener = Listener(asyncio.get_running_loop(), clock, max_clients, protocol_factory)
    else:
        from pepperrun.parking.listener import ParkingListener

        listener = ParkingListener(asyncio.get_running_loop(), clock, parking, protocol_factory)
    listener.open(address, inherited)
    log_message(name, f"{name} listens at {listener.address[0]}:{listener.address[1]}")
    return listener


def start_membership(
    config: Config, members: MembershipConfig, parts: GatekeeperParts, inherited_state: Any = None
) -> MembershipService:
    """Starts membership over the socket of the peer messages.

    `inherited_state`: the membership state of the process that this one replaces.
    """
    from pepperrun.membership.service import MembershipService

    names = members.names or [f"gatekeeper {number}" for number in range(config.settings.gateways)]
    service = MembershipService(
        members, config.name, names, parts.gatekeeper, parts._send_to_peer, config.seed, inherited_state
    )
    parts.membership = service
    if parts.peers is not None:
        parts.peers.on_membership = service.on_datagram
    return service


async def open_admin(address: Address, parts: GatekeeperParts, listener: Listener) -> AdminServer:
    """Opens the admin address, which reports ready while clients are accepted."""

    def all_metrics() -> Iterator[Metric]:
        yield from core_metrics(parts.gatekeeper, parts.upstream, parts.directory)
        if parts.membership is not None:
            yield from parts.membership.figures()

    def extra(command: bytes) -> bytes | None:
        if parts.membership is not None:
            return parts.membership.answer_call(command)
        return b"error membership is off\n" if command.split()[:1] == [b"members"] else None

    handler = CommandHandler(listener.accepts_clients, all_metrics, extra)
    server = AdminServer(asyncio.get_running_loop(), handler)
    await server.open(address)
    return server


def discovery_backoff(config: Config) -> Backoff:
    """Returns the delays between calls of discovery.

    Where lists are pushed, a local agent without other callers is called; elsewhere all gatekeepers call the
    same service.
    """
    if not config.settings.must_ask_for_list:
        return LocalAgentBackoff(config.settings.drain_grace_ns / SECOND)
    return Backoff(config.settings.gateways, random.Random(config.seed))


class DiscoveryWatch:
    """Polls discovery in a task; a new configuration may change the address."""

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
        """Polls this address from now on; `known_version` and `moved` are those of `Discovery`.

        The last list stays until the new address has sent one. Does nothing if the address is the same.
        """
        if address == self.address:
            return
        self.stop()
        self.address = address
        if address is not None:
            self.discovery = Discovery(address, on_list, backoff, known_version, moved)
            self.task = asyncio.get_running_loop().create_task(self.discovery.run())

    async def wait_for_first_call(self, timeout_s: float) -> None:
        """Waits until the first call is answered or has failed, at most `timeout_s`."""
        if self.discovery is not None:
            try:
                async with asyncio.timeout(timeout_s):
                    await self.discovery.first_call_done.wait()
            except TimeoutError:
                pass

    def stop(self) -> None:
        """Stops polling."""
        if self.task is not None:
            self.task.cancel()
        self.address = self.task = self.discovery = None


def inherited_socket(env: Mapping[str, str]) -> socket.socket | None:
    """Returns the listening socket inherited from the platform, None without `NODE_INHERITED_FD`.

    Raises UnusableError if the descriptor is not a listening TCP socket.
    """
    text = env.get("NODE_INHERITED_FD")
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 6:
        raise UnusableError(f"NODE_INHERITED_FD: {text!r} is not a descriptor")
    number = int(text)
    try:
        if not stat.S_ISSOCK(os.fstat(number).st_mode):
            raise UnusableError(f"NODE_INHERITED_FD: descriptor {number} is not a socket")
    except OSError as error:
        raise UnusableError(f"NODE_INHERITED_FD: descriptor {number}: {error.strerror}") from None
    sock = socket.socket(fileno=number)
    stream = sock.type == socket.SOCK_STREAM and sock.family in (socket.AF_INET, socket.AF_INET6)
    if not stream or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()
        raise UnusableError(f"NODE_INHERITED_FD: descriptor {number} is not a listening TCP socket")
    os.set_inheritable(number, False)
    return sock


def handover_path(name: str, env: Mapping[str, str]) -> Path | None:
    """Returns the path of this gatekeeper's handover socket; logs the reason and returns None without one."""
    folder = env.get("TMPDIR")
    if not folder:
        log_message("hand-over", "handover is off: TMPDIR is not set")
        return None
    try:
        return socket_path(folder, name)
    except ValueError as error:
        log_message("hand-over", f"handover is off: {error}")
        return None


async def request_handover(path: Path | None) -> Successor | None:
    """Requests the state of the process that serves now; returns the connection to it."""
    if path is None:
        return None
    successor = Successor()
    await successor.request_state(path)
    return successor


def await_successor(
    path: Path, parts: GatekeeperParts, listener: Listener, watch: DiscoveryWatch
) -> Predecessor:
    """Listens for the process that will replace this one."""

    def export_process_state() -> dict[str, Any]:
        version = watch.discovery.version if watch.discovery is not None else None
        endpoint_list = {"version": version or 0, "full": True, "servers": parts.directory.discovery_rows()}
        process_state = {
            "list": endpoint_list,
            "known": version is not None,
            "peers": parts.peers is not None,
        }
        return process_state | (
            {"members": parts.membership.export_state()} if parts.membership is not None else {}
        )

    return Predecessor(
        path, parts.gatekeeper, parts.upstream, listener, lambda: parts.peers, export_process_state
    )
