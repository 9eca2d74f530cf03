"""A process that holds idle connections for a gatekeeper: `python3 -m pepperrun.parking.holder FD OFFSET`.

FD is the process's end of a Unix SOCK_SEQPACKET pair, OFFSET the difference in ns between the gatekeeper's
clock and the monotonic one. The process returns a connection as soon as it has input and closes it at its
time-out. It exits with the gatekeeper, whose end of the pair is then closed. It reads no client's input.
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

REPORT_INTERVAL_NS = 50_000_000  # minimum time between two reports
MESSAGES_PER_TURN = 16
NICENESS = 10


def config_from(times: wire.Times) -> ClientsConfig:
    """Returns the holder's configuration: the time-outs it was sent, without the gatekeeper's limits."""
    return ClientsConfig(
        idle_ns=times.idle_ns,
        first_byte_ns=times.first_byte_ns,
        request_ns=times.idle_ns,
        park_after_ns=0,
        give_way_ns=times.give_way_ns,
        most=times.most,
        most_asking=1 << 30,  # no limit: all connections with input are returned
        most_here=0,
        holders=0,
        turn_ns=times.turn_ns,
        backlog=1,
    )


class Holder:
    """Holds the connections it is sent until they have input, end or expire."""

    def __init__(self, control: socket.socket, offset_ns: int) -> None:
        self.control = control
        control.setblocking(False)
        self.sockets: ParkedSockets | None = None
        self.offset_ns = offset_ns
        self.last_report: wire.Report | None = None
        self.last_report_at = 0
        self.is_blocked = self.is_finishing = False
        self.evictions_handled = 0  # EVICT messages
        self.undelivered = 0  # descriptors that the system did not deliver
        self.returning: list[tuple[int, Record]] = []

    def clock(self) -> int:
        """Returns the time on the gatekeeper's clock, in ns; both are based on the monotonic clock."""
        return time.monotonic_ns() + self.offset_ns

    def run(self) -> None:
        """Runs until the gatekeeper has exited, or after FINISH until no connection is left."""
        poll = select.poll()
        poll.register(self.control, select.POLLIN)
        epoll_fd = -1
        while True:
            sockets = self.sockets
            if sockets is not None and epoll_fd < 0:
                epoll_fd = sockets.epoll.fileno()
                poll.register(epoll_fd, select.POLLIN)
            poll.modify(self.control, select.POLLIN | (select.POLLOUT if self.is_blocked else 0))
            for fd, _ in poll.poll(self._timeout_ms()):
                if fd != epoll_fd and not self._receive():
                    return
            if self.sockets is None:
                continue
            self.sockets.poll_events()
            self.sockets.expire_due()
            self._return_readable()
            self._send_report()
            if self.is_finishing and not self.returning and not len(self.sockets.table):
                self._send(wire.encode_plain(Kind.DONE), [])
                return

    def _timeout_ms(self) -> float | None:
        if self.sockets is None:
            return None
        if self.sockets.table.timers.has_pending() or self.is_finishing:
            return 0 if not self.is_blocked else 10
        delay_ns = self.sockets.next_expiry_delay_ns()
        delays_ms = [] if delay_ns is None else [delay_ns / 1e6 + 0.1]
        if self._current_report() != self.last_report:
            delays_ms.append(max(0.0, (self.last_report_at + REPORT_INTERVAL_NS - self.clock()) / 1e6) + 0.1)
        return min(delays_ms) if delays_ms else None

    # From the gatekeeper.

    def _receive(self) -> bool:
        """Handles a bounded number of messages; False once the gatekeeper has exited."""
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
                # If this process runs out of descriptors, the system delivers only the first ones.
                self.undelivered += len(batch) - len(fds)
                for fd, record in zip(fds, batch, strict=False):
                    self.sockets.add(fd, record)
            case (Kind.EVICT, int() as count) if self.sockets is not None:
                self.sockets.evict(self.sockets.table.eviction_candidates(count, self.clock()))
                self.evictions_handled += 1
                self.last_report_at = 0  # the gatekeeper waits for the report
            case (Kind.DRAIN | Kind.FINISH, None) if self.sockets is not None:
                self._close_idle(message[0] is Kind.FINISH)

    def _close_idle(self, include_new: bool) -> None:
        assert self.sockets is not None
        table = self.sockets.table
        for rank in EvictionRank:
            if include_new or rank is not EvictionRank.NEVER_ANSWERED:
                self.sockets.evict(list(table.eviction_order.members(rank)))
        self.is_finishing = self.is_finishing or include_new

    # To the gatekeeper.

    def _return_readable(self) -> None:
        """Returns connections with input to the gatekeeper, as many as the socket pair takes."""
        sockets = self.sockets
        assert sockets is not None
        self.is_blocked = False
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
                self.is_blocked = True
                return
            for fd in fds:
                assert sockets.table.states[fd] == State.ACTIVE
                sockets.table.remove(fd)
                os.close(fd)
            self.returning = []

    def _current_report(self) -> wire.Report:
        assert self.sockets is not None
        sockets, counts = self.sockets, self.sockets.table.rank_counts
        closed = sockets.closed_by_client + sockets.evicted + sockets.registration_failures + self.undelivered
        never_answered, no_exchange, one_exchange, more_exchanges = counts[: len(EvictionRank)]
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
        is_due = report != self.last_report and now - self.last_report_at >= REPORT_INTERVAL_NS
        if is_due and self._send(wire.encode_report(report), []):
            self.last_report, self.last_report_at = report, now

    def _send(self, data: bytes, fds: list[int]) -> bool:
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", fds))] if fds else []
        try:
            self.control.sendmsg([data], rights)
        except OSError:  # the pair is full, or the gatekeeper has exited, which the next receive shows
            return False
        return True


def main(arguments: list[str]) -> int:
    """Runs a holder. It ignores the terminal's signals: the gatekeeper still needs it while it drains."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    os.nice(NICENESS)  # on a core shared with the gatekeeper, requests go before idle connections
    control = socket.socket(fileno=int(arguments[0]))
    Holder(control, int(arguments[1])).run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
