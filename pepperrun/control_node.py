"""Control node: the program that serves workers, operators, and clients that look up gatekeepers."""

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

SETTINGS_CHECK_S = 2.0  # between two checks for a change of the settings file
DRAIN_TIMEOUT_S = 1.5  # at shutdown, to answer the calls that were read
LAST_MESSAGES_S = 0.1  # at shutdown, to send the last messages
HANDOVER_TIMEOUT_S = 3.0  # to hand over the vote and the coordinator role: half of the usual `grace_s`
HANDOVER_CHECK_S = 0.05  # between two checks whether the handover is complete


class ControlProgram:
    """The running program: loads the settings, handles signals and runs the servers of a control node."""

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
        """Return the modification time of the settings file, ns; 0 if it can't be read."""
        try:
            path: str = self.path or os.environ.get("PEPPERRUN_NODE_FILE") or ""
            return os.stat(path).st_mtime_ns
        except OSError:
            return 0

    async def run(self) -> None:
        """Serve until a signal requests the stop, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        listener = await link.listen(self.settings.internal_address, self.node, self.node.hello)
        for name, server in self.servers.items():
            address = self.settings.listen_address(name)
            if address is not None:
                await server.open(address)
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
        """Wait until this node has no vote or role that another could take, or the time-out is over."""
        checks = int(HANDOVER_TIMEOUT_S / HANDOVER_CHECK_S)
        for _ in range(checks):
            if self.node.replica.safe_to_stop:
                return
            await asyncio.sleep(HANDOVER_CHECK_S)
        logs.event("handover-timed-out", station=self.settings.me.station)

    def reload_settings(self) -> None:
        """Reload the settings file; an invalid file is logged and changes nothing."""
        self.settings_changed_at = self.settings_mtime_ns()
        try:
            self.settings = load(self.path)
        except PepperrunError as error:
            logs.log_error(error)
            return
        self.node.reload(self.settings)


def open_store(settings: Settings) -> tuple[DurableState, StateStore]:
    """Return the durable state and its store; without a store directory the state is only in memory."""
    me = settings.me
    contacts = [ip for ip, _ in settings.contacts()] if me.first_run else []
    if me.store_dir is None:
        return DurableState(secrets.token_hex(8)), InMemoryStore()
    disk = DiskStore(me.store_dir, me.limits.disk_mb)
    return disk.load_or_create(me.station, me.ip, contacts), disk


def main(args: list[str] | None = None) -> int:
    """Run the command line; return 0, or 2 if the settings or the disk are not valid."""
    parser = argparse.ArgumentParser(prog="python3 -m pepperrun.control_node", description=__doc__)
    parser.add_argument(
        "--settings", metavar="FILE", help="settings file (default: the one named by PEPPERRUN_NODE_FILE)"
    )
    parser.add_argument("--check", action="store_true", help="check whether the settings are valid, and exit")
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
