"""Gateway node: the program of machines that clients reach; puts news, traffic and peers together."""

from __future__ import annotations

import argparse
import asyncio
import gc
import secrets
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

from pepperrun.control.records import GatewayRecord, GatewayState
from pepperrun.dataplane import inspection
from pepperrun.dataplane.draining import drain, ready_listener
from pepperrun.dataplane.plane import DataPlane
from pepperrun.dataplane.trace import VERBOSE
from pepperrun.distribution.service import DistributionService
from pepperrun.foundation import logs
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.settings import Address, Settings, load
from pepperrun.membership.gateway_probe_service import GatewayProbeService
from pepperrun.membership.gateway_probe_wire import MAGIC

LOOK_S, FIRST_LOOK_S = 0.2, 0.05  # between looks at whether this gatekeeper is ready; until it first is
AGAIN_S = 0.3  # between tries for an address that an earlier process still has


class GatewayNode:
    """One life of a gatekeeper."""

    def __init__(self, settings: Settings, path: str | None, trace: float = 0) -> None:
        self.settings, self.path = settings, path
        self.life, self.serial, self.state = time.time_ns() // 1_000_000, 0, GatewayState.STARTING
        self.distribution = DistributionService(settings, self.life, self.row)
        book = self.distribution.replicated
        self.plane = DataPlane(
            settings,
            secrets.randbits(32),
            time.monotonic_ns,
            self.known_life,
            lambda: book.confirmed_at,
            lambda: book.records_confirmed_at,
        )
        self.tracing, self.number = trace > 0, -1
        self.plane.log_requests(trace)
        book.on_state += [self.plane.on_agreed_state, self.on_agreed_state]
        book.on_workers.append(self.plane.on_workers)
        book.on_gateways.append(self.on_gateways)
        self.probes = GatewayProbeService(
            settings, self.life, secrets.randbits(32), self.plane.peer_messages.send_datagram, self.on_probes
        )
        self.plane.peer_messages.handlers[MAGIC] = self.probes.on_datagram
        self.distribution.follower.parent_selection.is_present = self.probes.is_present
        self.distribution.inspect = lambda now: inspection.shown(
            self.row(), self.distribution, self.plane, self.probes, now
        )
        self.asked = ready_listener(time.monotonic_ns, self.plane.ready)
        self.stop = asyncio.Event()

    def row(self) -> GatewayRecord:
        """This gatekeeper's own record."""
        me, counter = self.settings.me, self.settings.network.postboxes.get("counter", "")
        internal_port = f"{me.ip}:{self.settings.internal_address[1]}"
        return GatewayRecord(
            me.station, me.zone, me.region, counter, internal_port, self.life, self.serial, self.state
        )

    def on_agreed_state(self, number: int, state: dict[str, Any], change: object = None) -> None:
        """The plane has taken it: one line for each number, and how deep in the tree where more is logged."""
        if number <= self.number:
            return
        self.number, me = number, self.settings.me
        known = {"number": number, "edition": state.get("edition") or 0, "station": me.station}
        if self.tracing:
            known["depth"] = inspection.depth(
                me.station, me.zone, self.distribution.replicated.gateways.values()
            )
        logs.event("agreed", **known)

    def on_gateways(self, changed: list[GatewayRecord]) -> None:
        """Records of gatekeepers that are new or have changed."""
        self.plane.on_gateways(changed)
        self.probes.on_gateways(changed)
        self.on_probes()

    def on_probes(self) -> None:
        """Who of the other gatekeepers is thought to be there may have changed."""
        self.plane.update_membership_status(self.probes.absent_gateways(), self.probes.suspects_itself)
        self.distribution.membership_changed()

    def known_life(self) -> int:
        """The life by which others know this one: the time of day may have been ahead in an earlier one."""
        held = self.distribution.replicated.gateways.get(self.settings.me.station)
        return held.incarnation if held is not None else self.life

    def say(self, state: GatewayState) -> None:
        """From now on this gatekeeper is in this state."""
        if state != self.state:
            self.state, self.serial = state, self.serial + 1
            logs.event("gateway", state=state)
            self.distribution.send_own_record()

    def reread(self) -> None:
        """The settings file may have changed: zones, contacts and the rules' figures hold at once."""
        try:
            self.settings = load(self.path)
        except PepperrunError as error:
            logs.log_error(error)
            return
        self.plane.reload_settings(self.settings)
        self.distribution.set_contacts(self.settings.contacts())
        logs.event("settings", reread=True)

    async def run(self) -> None:
        """Serves until it is told to stop, then answers what it has read."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reread)
        counter, ready = self.settings.listen_address("counter"), self.settings.listen_address("ready_port")
        plane = self.plane
        await self._patiently(
            "peer-messages",
            lambda: loop.create_datagram_endpoint(
                lambda: plane.peer_messages, self.settings.internal_address
            ),
        )
        await self._patiently("news", self.distribution.start)
        if counter is not None:
            await self._patiently("counter", lambda: _opened(plane.listener.open, counter))
        if ready is not None:
            await self._patiently("ready", lambda: _opened(self.asked.open, ready))
        gc.collect()
        gc.freeze()
        logs.event("gateway", state=self.state, station=self.settings.me.station, life=self.life)
        while not self.stop.is_set():
            if plane.ready():
                self.say(GatewayState.READY)
            try:
                async with asyncio.timeout(LOOK_S if self.state == GatewayState.READY else FIRST_LOOK_S):
                    await self.stop.wait()
            except TimeoutError:
                pass
        self.say(GatewayState.DRAINING)
        self.probes.leave()
        grace_s = self.settings.tariffs.bounds.grace_s
        await drain(plane.listener, grace_s, plane.has_pending_requests, plane.expire_all)
        self.asked.close()
        self.probes.close()
        plane.close()
        await self.distribution.close()

    async def _patiently(self, step: str, start: Callable[[], Awaitable[object]]) -> None:
        """Tries again while an earlier process still has the address."""
        while not self.stop.is_set():
            try:
                await start()
                return
            except OSError as error:
                logs.log_error(PepperrunError("no-address", step, str(error)))
                await asyncio.sleep(AGAIN_S)


async def _opened(opening: Callable[[Address], None], where: Address) -> None:
    opening(where)


def main(arguments: list[str] | None = None) -> int:
    """The command; its exit code."""
    parser = argparse.ArgumentParser(prog="pepperrun.gateway_node", description=__doc__)
    parser.add_argument("--settings", metavar="FILE", help="instead of the one PEPPERRUN_NODE_FILE names")
    parser.add_argument("--check", action="store_true", help="only read and check the settings")
    parser.add_argument("--verbose", action="store_true", help="log more")
    said = "log so many requests a second that were not served at the first try (0; 20 with --verbose)"
    parser.add_argument("--trace", type=float, metavar="N", help=said)
    options = parser.parse_args(arguments)
    logs.setup(options.verbose)
    try:
        settings = load(options.settings)
        if settings.listen_address("counter") is None:
            raise PepperrunError("bad-settings", "settings", "network.postboxes.counter: missing")
    except PepperrunError as error:
        print(f"pepperrun.gateway_node: {error}", file=sys.stderr)
        return 2
    if options.check:
        print(f"{settings.me.station}: settings are good")
        return 0

    trace = options.trace if options.trace is not None else VERBOSE * options.verbose

    async def run() -> None:
        await GatewayNode(settings, options.settings, trace).run()

    asyncio.run(run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
