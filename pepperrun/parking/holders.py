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
from pepperrun.parking.connection_table import Record
from pepperrun.parking.wire import Kind

RESTART_DELAY_S = 1.0  # before a holder that has died is started again
MESSAGES_PER_TURN = 1  # taken in a turn: each may bring 64 connections
RESERVED_DESCRIPTORS = 32  # descriptors of a holder that are not connections


class HolderProcess:
    """One holder process and the pair to it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        owner: HolderPool,
        number: int,
        offset_ns: int,
        times: wire.Times,
    ) -> None:
        self.loop, self.owner, self.number = loop, owner, number
        self.control, child_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        package_root = str(Path(pepperrun.__file__).resolve().parent.parent)
        python_path = os.pathsep.join(filter(None, [package_root, os.environ.get("PYTHONPATH", "")]))
        try:
            self.process = subprocess.Popen(
                [sys.executable, "-S", "-B", "-m", "pepperrun.parking.holder"]
                + [str(child_end.fileno()), str(offset_ns)],
                pass_fds=[child_end.fileno()],
                stdin=subprocess.DEVNULL,
                env=os.environ | {"PYTHONPATH": python_path},
            )
        except OSError:
            self.control.close()
            raise
        finally:
            child_end.close()
        self.control.setblocking(False)
        self.max_connections = times.most
        self.sent_count = self.returned_count = self.lost_count = 0
        self.report = wire.Report(0, 0, 0, 0, 0, 0, 0)
        self.evictions_requested = 0  # messages that asked to give way
        self.done = False
        self.send(wire.encode_times(times), [])
        loop.add_reader(self.control, self._receive)

    def connection_count(self) -> int:
        """Connections that it has, as far as it has told."""
        return max(0, self.sent_count - self.returned_count - self.report.expired - self.report.closed)

    def lowest_rank(self) -> int | None:
        """The lowest rank of which it has some, as far as it has told."""
        return next((rank for rank, count in enumerate(self.report.by_rank()) if count), None)

    def send(self, data: bytes, fds: list[int]) -> bool:
        """A message and descriptors, which stay open here; False where the pair takes nothing now."""
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", fds))] if fds else []
        try:
            self.control.sendmsg([data], rights)
        except OSError:
            return False
        return True

    def _receive(self) -> None:
        ancillary_size = socket.CMSG_SPACE(wire.MAX_BATCH * 4)
        for _ in range(MESSAGES_PER_TURN):
            try:
                data, ancillary, _, _ = self.control.recvmsg(wire.MAX_MESSAGE_BYTES, ancillary_size)
            except BlockingIOError:
                return
            except OSError:
                data, ancillary = b"", []
            fds = array.array("i")
            for level, ancillary_kind, rights in ancillary:
                if level == socket.SOL_SOCKET and ancillary_kind == socket.SCM_RIGHTS:
                    fds.frombytes(rights[: len(rights) - len(rights) % 4])
            if not data:
                self.close()
                self.owner.on_holder_exit(self)
                return
            try:
                kind, payload = wire.decode(data)
            except ValueError as error:  # nothing from another process raises out of a callback
                for fd in fds:
                    os.close(fd)
                log_message("holder", f"holder {self.number}: a message that can't be read: {error}")
                continue
            if kind is Kind.RETURN and isinstance(payload, list):
                self.returned_count += len(payload)
                if len(fds) < len(
                    payload
                ):  # out of descriptors here: the system delivers the first ones only
                    self.lost_count += len(payload) - len(fds)
                    log_message(
                        "holder", f"{len(payload) - len(fds)} connections were lost for want of descriptors"
                    )
                for fd, record in zip(fds, payload, strict=False):
                    self.owner.on_returned(fd, record)
            elif kind is Kind.REPORT and isinstance(payload, wire.Report):
                self.report = payload
                self.owner.on_report()
            elif kind is Kind.DONE:
                self.done = True
                self.owner.on_report()

    def close(self) -> None:
        """Ends it: what it holds is closed by the system."""
        if self.control.fileno() >= 0:
            self.loop.remove_reader(self.control)
            self.control.close()


class HolderPool:
    """All holders. `returned` is given each connection that has spoken, `reported` is told of news."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        offset_ns: int,
        times: wire.Times,
        count: int,
        on_returned: Callable[[int, Record], None],
        on_report: Callable[[], None],
    ) -> None:
        self.loop, self.offset_ns, self.times, self.count = loop, offset_ns, times, count
        self.on_returned, self.on_report = on_returned, on_report
        self.holders: list[HolderProcess] = []
        self.closing = False
        self.lost_count = self.closed_count = (
            0  # connections of holders that have died; closed by those that have ended
        )
        for number in range(count):
            self._start(number)

    def _start(self, number: int) -> None:
        if self.closing:
            return
        try:
            self.holders.append(HolderProcess(self.loop, self, number, self.offset_ns, self.times))
        except OSError as error:
            log_message("holder", f"holder {number} can't be started: {error}")
            self.loop.call_later(RESTART_DELAY_S, self._start, number)

    def connection_count(self) -> int:
        """Connections in all holders."""
        return sum(holder.connection_count() for holder in self.holders)

    def has_capacity(self) -> bool:
        """Does any take more?"""
        return any(holder.connection_count() < holder.max_connections for holder in self.holders)

    def hand_over(self, batch: list[tuple[int, Record]]) -> bool:
        """Hands copies of descriptors to the holder that has fewest; False where none takes them."""
        for holder in sorted(self.holders, key=HolderProcess.connection_count):
            if holder.connection_count() + len(batch) > holder.max_connections:
                return False
            data = wire.encode_records(Kind.KEEP, [record for _, record in batch])
            if holder.send(data, [fd for fd, _ in batch]):
                holder.sent_count += len(batch)
                return True
        return False

    def lowest_rank(self) -> int | None:
        """The lowest rank that a holder holds; None where none holds any."""
        return min(
            (rank for holder in self.holders if (rank := holder.lowest_rank()) is not None), default=None
        )

    def evict(self, count: int) -> bool:
        """Asks the holder with most of the lowest rank to close some; True if one has been asked."""
        if any(holder.evictions_requested > holder.report.evictions_handled for holder in self.holders):
            return True
        lowest_rank = self.lowest_rank()
        if lowest_rank is None:
            return False
        holder = max(self.holders, key=lambda holder: holder.report.by_rank()[lowest_rank])
        is_sent = holder.send(wire.encode_eviction(count), [])
        holder.evictions_requested += is_sent
        return is_sent

    def apply_times(self, times: wire.Times) -> None:
        """Other times hold from now on."""
        self.times = times
        self._broadcast(wire.encode_times(times))

    def drain(self) -> None:
        """Those that have been served and say nothing are closed."""
        self._broadcast(wire.encode_plain(Kind.DRAIN))

    def finish(self) -> None:
        """All that say nothing are closed, the rest come back."""
        self.closing = True
        self._broadcast(wire.encode_plain(Kind.FINISH))

    def _broadcast(self, data: bytes) -> None:
        for holder in list(self.holders):
            if not holder.send(data, []):
                # The pair is full, which it is for moments only: said again until it is taken.
                self.loop.call_later(0.02, self._resend, holder, data)

    def _resend(self, holder: HolderProcess, data: bytes) -> None:
        if holder in self.holders and not holder.send(data, []):
            self.loop.call_later(0.02, self._resend, holder, data)

    def is_finished(self) -> bool:
        """Has each given back or closed all?"""
        return all(holder.done for holder in self.holders)

    def on_holder_exit(self, holder: HolderProcess) -> None:
        """A holder has gone: its connections are closed, and a new one takes its place."""
        self.holders.remove(holder)
        if not holder.done:
            lost = holder.connection_count()
            self.lost_count += lost
            log_message("holder", f"holder {holder.number} has ended with {lost} connections")
        self._reap(holder)
        self.loop.call_later(RESTART_DELAY_S, self._start, holder.number)
        self.on_report()

    def _reap(self, holder: HolderProcess) -> None:
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
