"""Control node: the program that answers workers, operators and clients that ask where to go."""

from __future__ import annotations

import argparse
import asyncio
import os
import secrets
import signal
import sys

from pepperrun.consensus.state import DurableState, InMemoryStore, StateStore
from pepperrun.control.handlers import ControlApi
from pepperrun.control.node import ControlNode
from pepperrun.control.server import Server
from pepperrun.foundation import link, logs
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.settings import Settings, load
from pepperrun.storage.store import DiskStore

SETTINGS_CHECK_S = 2.0  # between two looks whether the settings file has changed
DRAIN_TIMEOUT_S = 1.5  # for what was read, once told to stop
LAST_MESSAGES_S = 0.1  # for the last messages to go out
HANDOVER_TIMEOUT_S = 3.0  # at most until its vote and its duty are others': half of the usual `grace_s`
HANDOVER_CHECK_S = 0.05  # between two looks whether they are


class ControlProgram:
    """The running program: settings, servers and signals around one control node."""

    def __init__(self, settings: Settings, path: str | None) -> None:
        self.settings, self.path = settings, path
        self.stop = asyncio.Event()
        self.settings_changed_at = self.settings_mtime_ns()
        state, store = open_store(settings)
        logs.event("starting", station=settings.me.station, ip=settings.me.ip, starts=state.starts)
        self.node = ControlNode(settings, state, store, state.starts)
        control_api = ControlApi(self.node)
        self.servers = {
            "control_port": Server(control_api.control_tree()),
            "directory_port": Server(control_api.directory_tree()),
        }

    def settings_mtime_ns(self) -> int:
        """Return when the settings file was last changed."""
        try:
            where: str = self.path or os.environ.get("PEPPERRUN_NODE_FILE") or ""
            return os.stat(where).st_mtime_ns
        except OSError:
            return 0

    async def run(self) -> None:
        """Serve until told to stop, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        listener = await link.listen(self.settings.internal_address, self.node, self.node.hello)
        for name, server in self.servers.items():
            where = self.settings.listen_address(name)
            if where is not None:
                await server.open(where)
        self.node.start()
        while not self.stop.is_set():
            try:
                async with asyncio.timeout(SETTINGS_CHECK_S):
                    await self.stop.wait()
            except TimeoutError:
                if self.settings_mtime_ns() != self.settings_changed_at:
                    self.reload_settings()
        logs.event("stopping", station=self.settings.me.station)
        self.node.request_stop()
        listener.close()
        closing = (server.close(DRAIN_TIMEOUT_S) for server in self.servers.values())
        await asyncio.gather(self.wait_for_handover(), *closing)
        await asyncio.sleep(LAST_MESSAGES_S)
        self.node.close()

    async def wait_for_handover(self) -> None:
        """Wait until no other node needs this one's vote or role, or the time for it is over."""
        checks = int(HANDOVER_TIMEOUT_S / HANDOVER_CHECK_S)
        for _ in range(checks):
            if self.node.replica.safe_to_stop:
                return
            await asyncio.sleep(HANDOVER_CHECK_S)
        logs.event("handover-timed-out", station=self.settings.me.station)

    def reload_settings(self) -> None:
        """Read the settings file again; one that is not valid changes nothing."""
        self.settings_changed_at = self.settings_mtime_ns()
        try:
            self.settings = load(self.path)
        except PepperrunError as error:
            logs.log_error(error)
            return
        self.node.reload(self.settings)


def open_store(settings: Settings) -> tuple[DurableState, StateStore]:
    """Return the durable state and its store; without a disk nothing outlives the process."""
    me = settings.me
    contacts = [ip for ip, _ in settings.contacts()] if me.first_run else []
    if me.store_dir is None:
        return DurableState(secrets.token_hex(8)), InMemoryStore()
    disk = DiskStore(me.store_dir, me.limits.disk_mb)
    return disk.load_or_create(me.station, me.ip, contacts), disk


def main(args: list[str] | None = None) -> int:
    """Run the command line; return 0, or 2 where settings or disk are not valid."""
    parser = argparse.ArgumentParser(prog="python3 -m pepperrun.control_node", description=__doc__)
    parser.add_argument(
        "--settings", metavar="FILE", help="the settings file (else PEPPERRUN_NODE_FILE names it)"
    )
    parser.add_argument(
        "--check", action="store_true", help="read the settings, say whether they are good, and stop"
    )
    parser.add_argument("--verbose", action="store_true", help="log more")
    options = parser.parse_args(args)
    logs.setup(options.verbose)
    try:
        settings = load(options.settings)
        for name in ("control_port", "directory_port"):
            settings.listen_address(name)
        if options.check:
            print("settings are good")
            return 0
        asyncio.run(_run(settings, options.settings))
    except PepperrunError as error:
        logs.log_error(error)
        return 2
    return 0


async def _run(settings: Settings, path: str | None) -> None:
    await ControlProgram(settings, path).run()


if __name__ == "__main__":
    sys.exit(main())
