"""Gateway node: the program of machines that clients reach.

It runs the data plane, follows the distribution tree for state and records, and probes the other gatekeepers.
"""

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
from pepperrun.dataplane.draining import drain, readiness_listener
from pepperrun.dataplane.plane import DataPlane
from pepperrun.dataplane.trace import VERBOSE_LINES_PER_S
from pepperrun.distribution.service import DistributionService
from pepperrun.foundation import logs
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.settings import Address, Settings, load
from pepperrun.membership.gateway_probe_service import GatewayProbeService
from pepperrun.membership.gateway_probe_wire import MAGIC

# Intervals of the readiness check; the shorter one until this gatekeeper is ready for the first time.
READY_CHECK_S, FIRST_READY_CHECK_S = 0.2, 0.05
BIND_RETRY_S = 0.3  # between attempts to bind an address that an earlier process still holds


class GatewayNode:
    """One incarnation of a gatekeeper: its data plane, distribution service and probes."""

    def __init__(self, settings: Settings, path: str | None, trace: float = 0) -> None:
        self.settings, self.path = settings, path
        self.incarnation, self.serial, self.state = time.time_ns() // 1_000_000, 0, GatewayState.STARTING
        self.distribution = DistributionService(settings, self.incarnation, self.own_record)
        replicated = self.distribution.replicated
        self.plane = DataPlane(
            settings,
            secrets.randbits(32),
            time.monotonic_ns,
            self.known_incarnation,
            lambda: replicated.confirmed_at,
            lambda: replicated.records_confirmed_at,
        )
        self.is_tracing, self.logged_version = trace > 0, -1
        self.plane.log_requests(trace)
        replicated.on_state += [self.plane.on_agreed_state, self.on_agreed_state]
        replicated.on_workers.append(self.plane.on_workers)
        replicated.on_gateways.append(self.on_gateways)
        self.probes = GatewayProbeService(
            settings,
            self.incarnation,
            secrets.randbits(32),
            self.plane.peer_messages.send_datagram,
            self.on_probes,
        )
        self.plane.peer_messages.handlers[MAGIC] = self.probes.on_datagram
        self.distribution.follower.parent_selection.is_present = self.probes.is_present
        self.distribution.inspect = lambda now: inspection.status_message(
            self.own_record(), self.distribution, self.plane, self.probes, now
        )
        self.readiness_listener = readiness_listener(time.monotonic_ns, self.plane.ready)
        self.stop = asyncio.Event()

    def own_record(self) -> GatewayRecord:
        """Returns this gatekeeper's own record."""
        me, counter = self.settings.me, self.settings.network.postboxes.get("counter", "")
        internal_port = f"{me.ip}:{self.settings.internal_address[1]}"
        return GatewayRecord(
            me.station, me.zone, me.region, counter, internal_port, self.incarnation, self.serial, self.state
        )

    def on_agreed_state(self, version: int, state: dict[str, Any], change: object = None) -> None:
        """Logs each version of the agreed state that the data plane applied; tracing adds the tree depth."""
        if version <= self.logged_version:
            return
        self.logged_version, me = version, self.settings.me
        known = {"number": version, "edition": state.get("edition") or 0, "station": me.station}
        if self.is_tracing:
            known["depth"] = inspection.tree_depth(
                me.station, me.zone, self.distribution.replicated.gateways.values()
            )
        logs.event("agreed", **known)

    def on_gateways(self, changed: list[GatewayRecord]) -> None:
        """Applies records of gatekeepers that are new or have changed."""
        self.plane.on_gateways(changed)
        self.probes.on_gateways(changed)
        self.on_probes()

    def on_probes(self) -> None:
        """Passes on which other gatekeepers are probably absent, after a possible change."""
        self.plane.update_membership_status(self.probes.absent_gateways(), self.probes.suspects_itself)
        self.distribution.membership_changed()

    def known_incarnation(self) -> int:
        """Returns the incarnation that others know; the clock of an earlier process may have been ahead."""
        record = self.distribution.replicated.gateways.get(self.settings.me.station)
        return record.incarnation if record is not None else self.incarnation

    def set_state(self, state: GatewayState) -> None:
        """Changes the state of this gatekeeper, and publishes a change."""
        if state != self.state:
            self.state, self.serial = state, self.serial + 1
            logs.event("gateway", state=state)
            self.distribution.send_own_record()

    def reload_settings(self) -> None:
        """Reloads the settings file. Changed zones, contacts and bounds apply at once."""
        try:
            self.settings = load(self.path)
        except PepperrunError as error:
            logs.log_error(error)
            return
        self.plane.reload_settings(self.settings)
        self.distribution.set_contacts(self.settings.contacts())
        logs.event("settings", reread=True)

    async def run(self) -> None:
        """Serves until it is told to stop, then drains."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        counter, ready = self.settings.listen_address("counter"), self.settings.listen_address("ready_port")
        plane = self.plane
        await self._retry_while_in_use(
            "peer-messages",
            lambda: loop.create_datagram_endpoint(
                lambda: plane.peer_messages, self.settings.internal_address
            ),
        )
        await self._retry_while_in_use("news", self.distribution.start)
        if counter is not None:
            await self._retry_while_in_use("counter", lambda: _open_async(plane.listener.open, counter))
        if ready is not None:
            await self._retry_while_in_use("ready", lambda: _open_async(self.readiness_listener.open, ready))
        gc.collect()
        gc.freeze()
        logs.event("gateway", state=self.state, station=self.settings.me.station, life=self.incarnation)
        while not self.stop.is_set():
            if plane.ready():
                self.set_state(GatewayState.READY)
            try:
                async with asyncio.timeout(
                    READY_CHECK_S if self.state == GatewayState.READY else FIRST_READY_CHECK_S
                ):
                    await self.stop.wait()
            except TimeoutError:
                pass
        self.set_state(GatewayState.DRAINING)
        self.probes.leave()
        grace_s = self.settings.tariffs.bounds.grace_s
        await drain(plane.listener, grace_s, plane.has_pending_requests, plane.expire_all)
        self.readiness_listener.close()
        self.probes.close()
        plane.close()
        await self.distribution.close()

    async def _retry_while_in_use(self, step: str, start: Callable[[], Awaitable[object]]) -> None:
        """Retries a start while an earlier process still holds the address."""
        while not self.stop.is_set():
            try:
                await start()
                return
            except OSError as error:
                logs.log_error(PepperrunError("no-address", step, str(error)))
                await asyncio.sleep(BIND_RETRY_S)


async def _open_async(open_listener: Callable[[Address], None], where: Address) -> None:
    open_listener(where)


def main(arguments: list[str] | None = None) -> int:
    """Runs the program; returns its exit code."""
    parser = argparse.ArgumentParser(prog="pepperrun.gateway_node", description=__doc__)
    parser.add_argument("--settings", metavar="FILE", help="instead of the one PEPPERRUN_NODE_FILE names")
    parser.add_argument("--check", action="store_true", help="only read and check the settings")
    parser.add_argument("--verbose", action="store_true", help="log more")
    trace_help = "log at most N requests a second not served at the first attempt (0; 20 with --verbose)"
    parser.add_argument("--trace", type=float, metavar="N", help=trace_help)
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

    trace = options.trace if options.trace is not None else VERBOSE_LINES_PER_S * options.verbose

    async def run() -> None:
        await GatewayNode(settings, options.settings, trace).run()

    asyncio.run(run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
