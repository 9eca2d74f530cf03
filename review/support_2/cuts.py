"""A proxy between two groups of control nodes, which can cut the links between them without a word."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from support_2.deployment import Address, Deployment

CORE = b'"class":"sorting"'  # in the first message on a link between control nodes
FIRST_BYTES = 4096


class Proxy:
    """Forwards links to control nodes; while `cut` is set, nothing passes between control nodes.

    The nodes of `far_zones` listen on a port of their own, so that each link between the groups, and each
    of a gatekeeper to a far node, goes through the proxy. Links of gatekeepers are never cut.
    """

    def __init__(self, system: Deployment, far_zones: set[str]) -> None:
        self.routes: dict[Address, Address] = {}
        near_port, far_port = system.ports["siding"], system.ports["siding_2"]
        for machine in system.control:
            is_far = machine.zone in far_zones
            machine.siding = "siding_2" if is_far else "siding"
            own, other = (far_port, near_port) if is_far else (near_port, far_port)
            self.routes[machine.ip, other] = (machine.ip, own)
        self.cut = False
        self._servers: list[asyncio.Server] = []
        self._held: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Listen."""
        for source, target in self.routes.items():

            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: Address = target
            ) -> None:
                await self._serve(reader, writer, target)

            self._servers.append(await asyncio.start_server(serve, *source))

    def heal(self) -> None:
        """End the cut; the links that it held up are reset."""
        self.cut = False
        for writer in self._held:
            writer.transport.abort()
        self._held.clear()

    def stop(self) -> None:
        """Listen no more, and end all links."""
        for server in self._servers:
            server.close()
        self.heal()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: Address
    ) -> None:
        with suppress(OSError, EOFError, asyncio.CancelledError):
            try:
                first = await reader.read(FIRST_BYTES)
                is_core = CORE in first
                far_reader, far_writer = await asyncio.open_connection(*target)
                if is_core and self.cut:
                    self._held += [writer, far_writer]
                else:
                    far_writer.write(first)
                await asyncio.gather(
                    self._pass_on(reader, far_writer, is_core), self._pass_on(far_reader, writer, is_core)
                )
            finally:
                writer.transport.abort()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_core: bool
    ) -> None:
        with suppress(OSError, EOFError, asyncio.CancelledError):
            while data := await reader.read(65536):
                if is_core and self.cut:
                    if writer not in self._held:
                        self._held.append(writer)  # what was lost leaves the link unusable
                    continue
                if writer not in self._held:
                    writer.write(data)
        writer.transport.abort()
