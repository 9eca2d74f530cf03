"""The gatekeeper's side of the processes that keep silent connections for it."""

from __future__ import annotations

import array
import asyncio
import os
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pepperrun
from pepperrun.log import log_message
from pepperrun.parking import wire
from pepperrun.parking.ledger import Record
from pepperrun.parking.wire import Kind

AGAIN_S = 1.0  # before a holder that has died is started again
MESSAGES = 1  # taken in a turn: each may bring 64 connections
SPARE = 32  # descriptors of a holder that are not connections


class Holder:
    """One holder process and the pair to it."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, owner: Holders, number: int, offset_ns: int, times: wire.Times
    ) -> None:
        self.loop, self.owner, self.number = loop, owner, number
        self.control, other = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        root = str(Path(pepperrun.__file__).resolve().parent.parent)
        path = os.pathsep.join(filter(None, [root, os.environ.get("PYTHONPATH", "")]))
        try:
            self.process = subprocess.Popen(
                [sys.executable, "-S", "-B", "-m", "pepperrun.parking.holder"]
                + [str(other.fileno()), str(offset_ns)],
                pass_fds=[other.fileno()],
                stdin=subprocess.DEVNULL,
                env=os.environ | {"PYTHONPATH": path},
            )
        except OSError:
            self.control.close()
            raise
        finally:
            other.close()
        self.control.setblocking(False)
        self.most = times.most
        self.sent = self.back = self.lost = 0
        self.report = wire.Report(0, 0, 0, 0, 0, 0, 0)
        self.asked = 0  # messages that asked to give way
        self.done = False
        self.send(wire.times(times), [])
        loop.add_reader(self.control, self._hear)

    def held(self) -> int:
        """Connections that it has, as far as it has told."""
        return max(0, self.sent - self.back - self.report.expired - self.report.ended)

    def lowest(self) -> int | None:
        """The lowest rank of which it has some, as far as it has told."""
        return next((rank for rank, count in enumerate(self.report.ranks()) if count), None)

    def send(self, data: bytes, fds: list[int]) -> bool:
        """A message and descriptors, which stay open here; False where the pair takes nothing now."""
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", fds))] if fds else []
        try:
            self.control.sendmsg([data], rights)
        except OSError:
            return False
        return True

    def _hear(self) -> None:
        room = socket.CMSG_SPACE(wire.BATCH * 4)
        for _ in range(MESSAGES):
            try:
                data, ancillary, _, _ = self.control.recvmsg(wire.MOST_BYTES, room)
            except BlockingIOError:
                return
            except OSError:
                data, ancillary = b"", []
            fds = array.array("i")
            for level, sort, rights in ancillary:
                if level == socket.SOL_SOCKET and sort == socket.SCM_RIGHTS:
                    fds.frombytes(rights[: len(rights) - len(rights) % 4])
            if not data:
                self.close()
                self.owner.ended(self)
                return
            try:
                kind, what = wire.read(data)
            except ValueError as error:  # nothing from another process raises out of a callback
                for fd in fds:
                    os.close(fd)
                log_message("holder", f"holder {self.number}: a message that can't be read: {error}")
                continue
            if kind is Kind.BACK and isinstance(what, list):
                self.back += len(what)
                if len(fds) < len(what):  # out of descriptors here: the system delivers the first ones only
                    self.lost += len(what) - len(fds)
                    log_message(
                        "holder", f"{len(what) - len(fds)} connections were lost for want of descriptors"
                    )
                for fd, record in zip(fds, what, strict=False):
                    self.owner.returned(fd, record)
            elif kind is Kind.REPORT and isinstance(what, wire.Report):
                self.report = what
                self.owner.reported()
            elif kind is Kind.DONE:
                self.done = True
                self.owner.reported()

    def close(self) -> None:
        """Ends it: what it holds is closed by the system."""
        if self.control.fileno() >= 0:
            self.loop.remove_reader(self.control)
            self.control.close()


class Holders:
    """All holders. `returned` is given each connection that has spoken, `reported` is told of news."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        offset_ns: int,
        times: wire.Times,
        count: int,
        returned: Callable[[int, Record], None],
        reported: Callable[[], None],
    ) -> None:
        self.loop, self.offset_ns, self.times, self.count = loop, offset_ns, times, count
        self.returned, self.reported = returned, reported
        self.holders: list[Holder] = []
        self.closing = False
        self.lost = self.closed = 0  # connections of holders that have died; closed by those that have ended
        for number in range(count):
            self._start(number)

    def _start(self, number: int) -> None:
        if self.closing:
            return
        try:
            self.holders.append(Holder(self.loop, self, number, self.offset_ns, self.times))
        except OSError as error:
            log_message("holder", f"holder {number} can't be started: {error}")
            self.loop.call_later(AGAIN_S, self._start, number)

    def held(self) -> int:
        """Connections in all holders."""
        return sum(holder.held() for holder in self.holders)

    def room(self) -> bool:
        """Does any take more?"""
        return any(holder.held() < holder.most for holder in self.holders)

    def keep(self, batch: list[tuple[int, Record]]) -> bool:
        """Hands copies of descriptors to the holder that has fewest; False where none takes them."""
        for holder in sorted(self.holders, key=Holder.held):
            if holder.held() + len(batch) > holder.most:
                return False
            data = wire.records(Kind.KEEP, [record for _, record in batch])
            if holder.send(data, [fd for fd, _ in batch]):
                holder.sent += len(batch)
                return True
        return False

    def lowest(self) -> int | None:
        """The lowest rank that a holder holds; None where none holds any."""
        return min((rank for holder in self.holders if (rank := holder.lowest()) is not None), default=None)

    def give_way(self, count: int) -> bool:
        """Asks the holder with most of the lowest rank to close some; True if one has been asked."""
        if any(holder.asked > holder.report.obeyed for holder in self.holders):
            return True
        lowest = self.lowest()
        if lowest is None:
            return False
        holder = max(self.holders, key=lambda holder: holder.report.ranks()[lowest])
        asked = holder.send(wire.giving(count), [])
        holder.asked += asked
        return asked

    def follow(self, times: wire.Times) -> None:
        """Other times hold from now on."""
        self.times = times
        self._all(wire.times(times))

    def drain(self) -> None:
        """Those that have been served and say nothing are closed."""
        self._all(wire.plain(Kind.DRAIN))

    def finish(self) -> None:
        """All that say nothing are closed, the rest come back."""
        self.closing = True
        self._all(wire.plain(Kind.FINISH))

    def _all(self, data: bytes) -> None:
        for holder in list(self.holders):
            if not holder.send(data, []):
                # The pair is full, which it is for moments only: said again until it is taken.
                self.loop.call_later(0.02, self._again, holder, data)

    def _again(self, holder: Holder, data: bytes) -> None:
        if holder in self.holders and not holder.send(data, []):
            self.loop.call_later(0.02, self._again, holder, data)

    def finished(self) -> bool:
        """Has each given back or closed all?"""
        return all(holder.done for holder in self.holders)

    def ended(self, holder: Holder) -> None:
        """A holder has gone: its connections are closed, and a new one takes its place."""
        self.holders.remove(holder)
        if not holder.done:
            lost = holder.held()
            self.lost += lost
            log_message("holder", f"holder {holder.number} has ended with {lost} connections")
        self._reap(holder)
        self.loop.call_later(AGAIN_S, self._start, holder.number)
        self.reported()

    def _reap(self, holder: Holder) -> None:
        if holder.process.poll() is None:
            self.loop.call_later(0.1, self._reap, holder)

    def close(self) -> None:
        """Ends all."""
        self.closing = True
        for holder in self.holders:
            holder.close()
        for holder in self.holders:
            try:
                holder.process.wait(2.0)
            except subprocess.TimeoutExpired:
                holder.process.kill()
                holder.process.wait()
        self.holders.clear()
