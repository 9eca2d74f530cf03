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
from pepperrun.parking.ledger import Rank, Record, State
from pepperrun.parking.shelf import Shelf
from pepperrun.parking.wire import Kind

REPORT_NS = 50_000_000  # between two reports
MESSAGES = 16  # in one turn
NICE = 10


def config_of(times: wire.Times) -> ClientsConfig:
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
        self.shelf: Shelf | None = None
        self.offset_ns = offset_ns
        self.reported: wire.Report | None = None
        self.reported_at = 0
        self.blocked = self.finishing = False
        self.obeyed = 0  # messages that asked to give way
        self.dropped = 0  # descriptors that the system did not deliver
        self.outgoing: list[tuple[int, Record]] = []

    def clock(self) -> int:
        """The gatekeeper's clock: both read the machine's monotonic one."""
        return time.monotonic_ns() + self.offset_ns

    def run(self) -> None:
        """Until the gatekeeper has gone or nothing is left to finish."""
        poll = select.poll()
        poll.register(self.control, select.POLLIN)
        watched = -1
        while True:
            shelf = self.shelf
            if shelf is not None and watched < 0:
                watched = shelf.epoll.fileno()
                poll.register(watched, select.POLLIN)
            poll.modify(self.control, select.POLLIN | (select.POLLOUT if self.blocked else 0))
            for fd, _ in poll.poll(self._timeout_ms()):
                if fd != watched and not self._hear():
                    return
            if self.shelf is None:
                continue
            self.shelf.look()
            self.shelf.expire()
            self._give_back()
            self._report()
            if self.finishing and not self.outgoing and not len(self.shelf.ledger):
                self._send(wire.plain(Kind.DONE), [])
                return

    def _timeout_ms(self) -> float | None:
        if self.shelf is None:
            return None
        if self.shelf.ledger.wheel.pending() or self.finishing:
            return 0 if not self.blocked else 10
        delay = self.shelf.delay_ns()
        waits = [] if delay is None else [delay / 1e6 + 0.1]
        if self._figures() != self.reported:
            waits.append(max(0.0, (self.reported_at + REPORT_NS - self.clock()) / 1e6) + 0.1)
        return min(waits) if waits else None

    # From the gatekeeper.

    def _hear(self) -> bool:
        """Takes messages in; False once the gatekeeper has gone."""
        room = socket.CMSG_SPACE(wire.BATCH * 4)
        for _ in range(MESSAGES):
            try:
                data, ancillary, flags, _ = self.control.recvmsg(wire.MOST_BYTES, room)
            except BlockingIOError:
                return True
            except OSError:
                return False
            if not data:
                return False
            fds = array.array("i")
            for level, kind, what in ancillary:
                if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
                    fds.frombytes(what[: len(what) - len(what) % 4])
            self._obey(wire.read(data), list(fds))
        return True

    def _obey(self, message: wire.Message, fds: list[int]) -> None:
        match message:
            case (Kind.TIMES, wire.Times() as times):
                if self.shelf is None:
                    self.shelf = Shelf(config_of(times), self.clock)
                else:
                    self.shelf.follow(config_of(times))
            case (Kind.KEEP, list() as batch) if self.shelf is not None:
                # Out of descriptors here the system delivers the first ones only.
                self.dropped += len(batch) - len(fds)
                for fd, record in zip(fds, batch, strict=False):
                    self.shelf.put(fd, record)
            case (Kind.YIELD, int() as count) if self.shelf is not None:
                self.shelf.give_way(self.shelf.ledger.giving_way(count, self.clock()))
                self.obeyed += 1
                self.reported_at = 0  # it is waited for
            case (Kind.DRAIN | Kind.FINISH, None) if self.shelf is not None:
                self._end_silent(message[0] is Kind.FINISH)

    def _end_silent(self, all_of_them: bool) -> None:
        assert self.shelf is not None
        ledger = self.shelf.ledger
        for rank in Rank:
            if all_of_them or rank is not Rank.SILENT:
                self.shelf.give_way(list(ledger.order.members(rank)))
        self.finishing = self.finishing or all_of_them

    # To the gatekeeper.

    def _give_back(self) -> None:
        """Those that have spoken go back, as many as the pair takes."""
        shelf = self.shelf
        assert shelf is not None
        self.blocked = False
        while True:
            while len(self.outgoing) < wire.BATCH and (up := shelf.ledger.next_up()) is not None:
                self.outgoing.append((up[0], up[1]))
            if not self.outgoing:
                return
            batch = [record for _, record in self.outgoing]
            fds = [fd for fd, _ in self.outgoing]
            if not self._send(wire.records(Kind.BACK, batch), fds):
                self.blocked = True
                return
            for fd in fds:
                assert shelf.ledger.state[fd] == State.TAKEN
                shelf.ledger.drop(fd)
                os.close(fd)
            self.outgoing = []

    def _figures(self) -> wire.Report:
        assert self.shelf is not None
        shelf, ranks = self.shelf, self.shelf.ledger.ranks
        ended = shelf.ended + shelf.gave_way + shelf.spoilt + self.dropped
        silent, unasked, once, often = ranks[: len(Rank)]
        return wire.Report(silent, unasked, once, often, shelf.expired, ended, self.obeyed)

    def _report(self) -> None:
        figures, now = self._figures(), self.clock()
        due = figures != self.reported and now - self.reported_at >= REPORT_NS
        if due and self._send(wire.report(figures), []):
            self.reported, self.reported_at = figures, now

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
    os.nice(NICE)  # on one core with the gatekeeper, who is served goes before who is silent
    control = socket.socket(fileno=int(arguments[0]))
    Holder(control, int(arguments[1])).run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
