"""A process that keeps silent connections for a gatekeeper: `python3 -m pepperrun.parking.holder FD OFFSET`.

FD is its end of a Unix SOCK_SEQPACKET pair, OFFSET what the gatekeeper's clock adds to the monotonic one. It
gives a connection back as soon as it speaks, closes it when its time is up, and ends with the gatekeeper,
whose end of the pair is then closed. It reads nothing that clients send.
"""

from __future__ import annotations

import array
import os
import select
import signal
import socket
import sys
import time

from pepperrun.parking import wire
from pepperrun.parking.config import ClientsConfig
from pepperrun.parking.connection_table import EvictionRank, Record, State
from pepperrun.parking.parked_sockets import ParkedSockets
from pepperrun.parking.wire import Kind

REPORT_INTERVAL_NS = 50_000_000  # between two reports
MESSAGES_PER_TURN = 16  # in one turn
NICENESS = 10


def config_from(times: wire.Times) -> ClientsConfig:
    """The part of the operators' file that a holder needs."""
    return ClientsConfig(
        idle_ns=times.idle_ns,
        first_byte_ns=times.first_byte_ns,
        request_ns=times.idle_ns,
        park_after_ns=0,
        give_way_ns=times.give_way_ns,
        most=times.most,
        most_asking=1 << 30,  # all that have spoken go back
        most_here=0,
        holders=0,
        turn_ns=times.turn_ns,
        backlog=1,
    )


class Holder:
    """Keeps what it is given until it speaks, ends or expires."""

    def __init__(self, control: socket.socket, offset_ns: int) -> None:
        self.control = control
        control.setblocking(False)
        self.sockets: ParkedSockets | None = None
        self.offset_ns = offset_ns
        self.last_report: wire.Report | None = None
        self.last_report_at = 0
        self.blocked = self.finishing = False
        self.evictions_handled = 0  # messages that asked to give way
        self.undelivered = 0  # descriptors that the system did not deliver
        self.returning: list[tuple[int, Record]] = []

    def clock(self) -> int:
        """The gatekeeper's clock: both read the machine's monotonic one."""
        return time.monotonic_ns() + self.offset_ns

    def run(self) -> None:
        """Until the gatekeeper has gone or nothing is left to finish."""
        poll = select.poll()
        poll.register(self.control, select.POLLIN)
        epoll_fd = -1
        while True:
            sockets = self.sockets
            if sockets is not None and epoll_fd < 0:
                epoll_fd = sockets.epoll.fileno()
                poll.register(epoll_fd, select.POLLIN)
            poll.modify(self.control, select.POLLIN | (select.POLLOUT if self.blocked else 0))
            for fd, _ in poll.poll(self._timeout_ms()):
                if fd != epoll_fd and not self._receive():
                    return
            if self.sockets is None:
                continue
            self.sockets.poll_events()
            self.sockets.expire_due()
            self._return_readable()
            self._send_report()
            if self.finishing and not self.returning and not len(self.sockets.table):
                self._send(wire.encode_plain(Kind.DONE), [])
                return

    def _timeout_ms(self) -> float | None:
        if self.sockets is None:
            return None
        if self.sockets.table.timers.has_pending() or self.finishing:
            return 0 if not self.blocked else 10
        delay = self.sockets.next_expiry_delay_ns()
        delays_ms = [] if delay is None else [delay / 1e6 + 0.1]
        if self._current_report() != self.last_report:
            delays_ms.append(max(0.0, (self.last_report_at + REPORT_INTERVAL_NS - self.clock()) / 1e6) + 0.1)
        return min(delays_ms) if delays_ms else None

    # From the gatekeeper.

    def _receive(self) -> bool:
        """Takes messages in; False once the gatekeeper has gone."""
        ancillary_size = socket.CMSG_SPACE(wire.MAX_BATCH * 4)
        for _ in range(MESSAGES_PER_TURN):
            try:
                data, ancillary, flags, _ = self.control.recvmsg(wire.MAX_MESSAGE_BYTES, ancillary_size)
            except BlockingIOError:
                return True
            except OSError:
                return False
            if not data:
                return False
            fds = array.array("i")
            for level, kind, payload in ancillary:
                if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
                    fds.frombytes(payload[: len(payload) - len(payload) % 4])
            self._handle(wire.decode(data), list(fds))
        return True

    def _handle(self, message: wire.Message, fds: list[int]) -> None:
        match message:
            case (Kind.TIMES, wire.Times() as times):
                if self.sockets is None:
                    self.sockets = ParkedSockets(config_from(times), self.clock)
                else:
                    self.sockets.apply_config(config_from(times))
            case (Kind.KEEP, list() as batch) if self.sockets is not None:
                # Out of descriptors here the system delivers the first ones only.
                self.undelivered += len(batch) - len(fds)
                for fd, record in zip(fds, batch, strict=False):
                    self.sockets.add(fd, record)
            case (Kind.EVICT, int() as count) if self.sockets is not None:
                self.sockets.evict(self.sockets.table.eviction_candidates(count, self.clock()))
                self.evictions_handled += 1
                self.last_report_at = 0  # it is waited for
            case (Kind.DRAIN | Kind.FINISH, None) if self.sockets is not None:
                self._close_silent(message[0] is Kind.FINISH)

    def _close_silent(self, include_new: bool) -> None:
        assert self.sockets is not None
        table = self.sockets.table
        for rank in EvictionRank:
            if include_new or rank is not EvictionRank.NEVER_ANSWERED:
                self.sockets.evict(list(table.eviction_order.members(rank)))
        self.finishing = self.finishing or include_new

    # To the gatekeeper.

    def _return_readable(self) -> None:
        """Those that have spoken go back, as many as the pair takes."""
        sockets = self.sockets
        assert sockets is not None
        self.blocked = False
        while True:
            while (
                len(self.returning) < wire.MAX_BATCH and (resumed := sockets.table.resume_next()) is not None
            ):
                self.returning.append((resumed[0], resumed[1]))
            if not self.returning:
                return
            batch = [record for _, record in self.returning]
            fds = [fd for fd, _ in self.returning]
            if not self._send(wire.encode_records(Kind.RETURN, batch), fds):
                self.blocked = True
                return
            for fd in fds:
                assert sockets.table.states[fd] == State.ACTIVE
                sockets.table.remove(fd)
                os.close(fd)
            self.returning = []

    def _current_report(self) -> wire.Report:
        assert self.sockets is not None
        sockets, ranks = self.sockets, self.sockets.table.rank_counts
        closed = sockets.closed_by_client + sockets.evicted + sockets.registration_failures + self.undelivered
        never_answered, no_exchange, one_exchange, more_exchanges = ranks[: len(EvictionRank)]
        return wire.Report(
            never_answered,
            no_exchange,
            one_exchange,
            more_exchanges,
            sockets.expired,
            closed,
            self.evictions_handled,
        )

    def _send_report(self) -> None:
        report, now = self._current_report(), self.clock()
        due = report != self.last_report and now - self.last_report_at >= REPORT_INTERVAL_NS
        if due and self._send(wire.encode_report(report), []):
            self.last_report, self.last_report_at = report, now

    def _send(self, data: bytes, fds: list[int]) -> bool:
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", fds))] if fds else []
        try:
            self.control.sendmsg([data], rights)
        except OSError:  # full, or the gatekeeper has gone, which the next look tells
            return False
        return True


def main(arguments: list[str]) -> int:
    """Runs a holder. It outlives the terminal's signals: the gatekeeper drains through it."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    os.nice(NICENESS)  # on one core with the gatekeeper, who is served goes before who is silent
    control = socket.socket(fileno=int(arguments[0]))
    Holder(control, int(arguments[1])).run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
