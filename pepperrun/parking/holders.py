"""The gatekeeper's side of the holder processes, which hold idle connections for it."""

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

RESTART_DELAY_S = 1.0  # before a holder that has exited is started again
MESSAGES_PER_TURN = 1  # per turn of the event loop: each may bring 64 connections
RESERVED_DESCRIPTORS = 32  # descriptors of a holder that are not for connections


class HolderProcess:
    """One holder process and the socket pair to it."""

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
        self.evictions_requested = 0  # EVICT messages
        self.is_done = False
        self.send(wire.encode_times(times), [])
        loop.add_reader(self.control, self._receive)

    def connection_count(self) -> int:
        """Returns the number of connections it holds, by its last report."""
        return max(0, self.sent_count - self.returned_count - self.report.expired - self.report.closed)

    def lowest_rank(self) -> int | None:
        """Returns the lowest rank of its connections by its last report; None if it holds none."""
        return next((rank for rank, count in enumerate(self.report.by_rank()) if count), None)

    def send(self, data: bytes, fds: list[int]) -> bool:
        """Sends a message with descriptors, which stay open here; False if the pair takes nothing now."""
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
            except ValueError as error:  # another process must not make a callback raise
                for fd in fds:
                    os.close(fd)
                log_message("holder", f"holder {self.number}: dropped an invalid message: {error}")
                continue
            if kind is Kind.RETURN and isinstance(payload, list):
                self.returned_count += len(payload)
                # If this process runs out of descriptors, the system delivers only the first ones.
                if len(fds) < len(payload):
                    self.lost_count += len(payload) - len(fds)
                    log_message(
                        "holder", f"{len(payload) - len(fds)} connections were lost: no descriptors were left"
                    )
                for fd, record in zip(fds, payload, strict=False):
                    self.owner.on_returned(fd, record)
            elif kind is Kind.REPORT and isinstance(payload, wire.Report):
                self.report = payload
                self.owner.on_report()
            elif kind is Kind.DONE:
                self.is_done = True
                self.owner.on_report()

    def close(self) -> None:
        """Closes the pair. The process then exits, and the system closes the connections it holds."""
        if self.control.fileno() >= 0:
            self.loop.remove_reader(self.control)
            self.control.close()


class HolderPool:
    """All holder processes.

    Calls `on_returned` with each connection that has input, and `on_report` after each report or exit.
    """

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
        self.is_closing = False
        # Connections of holders that have died; those closed by holders that have ended.
        self.lost_count = self.closed_count = 0
        for number in range(count):
            self._start(number)

    def _start(self, number: int) -> None:
        if self.is_closing:
            return
        try:
            self.holders.append(HolderProcess(self.loop, self, number, self.offset_ns, self.times))
        except OSError as error:
            log_message("holder", f"holder {number} cannot be started, trying again: {error}")
            self.loop.call_later(RESTART_DELAY_S, self._start, number)

    def connection_count(self) -> int:
        """Returns the number of connections in all holders."""
        return sum(holder.connection_count() for holder in self.holders)

    def has_capacity(self) -> bool:
        """Whether any holder takes more connections."""
        return any(holder.connection_count() < holder.max_connections for holder in self.holders)

    def hand_over(self, batch: list[tuple[int, Record]]) -> bool:
        """Sends copies of descriptors to the holder with the fewest connections; False if none takes them."""
        for holder in sorted(self.holders, key=HolderProcess.connection_count):
            if holder.connection_count() + len(batch) > holder.max_connections:
                return False
            data = wire.encode_records(Kind.KEEP, [record for _, record in batch])
            if holder.send(data, [fd for fd, _ in batch]):
                holder.sent_count += len(batch)
                return True
        return False

    def lowest_rank(self) -> int | None:
        """Returns the lowest rank of the connections in all holders; None if they hold none."""
        return min(
            (rank for holder in self.holders if (rank := holder.lowest_rank()) is not None), default=None
        )

    def evict(self, count: int) -> bool:
        """Asks the holder with the most connections of the lowest rank to close `count`.

        Returns True if it was asked, or if an earlier request to a holder is still pending.
        """
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
        """Sends new time-outs to all holders."""
        self.times = times
        self._broadcast(wire.encode_times(times))

    def drain(self) -> None:
        """Lets holders close idle connections that have had a response."""
        self._broadcast(wire.encode_plain(Kind.DRAIN))

    def finish(self) -> None:
        """Lets holders close all idle connections, return the others, and exit."""
        self.is_closing = True
        self._broadcast(wire.encode_plain(Kind.FINISH))

    def _broadcast(self, data: bytes) -> None:
        for holder in list(self.holders):
            if not holder.send(data, []):
                # The pair is full, which passes soon: the message is sent again until the pair takes it.
                self.loop.call_later(0.02, self._resend, holder, data)

    def _resend(self, holder: HolderProcess, data: bytes) -> None:
        if holder in self.holders and not holder.send(data, []):
            self.loop.call_later(0.02, self._resend, holder, data)

    def is_finished(self) -> bool:
        """Whether each holder has returned or closed all its connections."""
        return all(holder.is_done for holder in self.holders)

    def on_holder_exit(self, holder: HolderProcess) -> None:
        """Handles the exit of a holder: its connections are closed, and a new holder is started."""
        self.holders.remove(holder)
        if not holder.is_done:
            lost = holder.connection_count()
            self.lost_count += lost
            log_message("holder", f"holder {holder.number} has exited; {lost} connections were lost")
        self._reap(holder)
        self.loop.call_later(RESTART_DELAY_S, self._start, holder.number)
        self.on_report()

    def _reap(self, holder: HolderProcess) -> None:
        if holder.process.poll() is None:
            self.loop.call_later(0.1, self._reap, holder)

    def close(self) -> None:
        """Ends all holder processes."""
        self.is_closing = True
        for holder in self.holders:
            holder.close()
        for holder in self.holders:
            try:
                holder.process.wait(2.0)
            except subprocess.TimeoutExpired:
                holder.process.kill()
                holder.process.wait()
        self.holders.clear()
