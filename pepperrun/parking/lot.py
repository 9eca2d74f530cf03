"""All clients' connections of a gatekeeper that parks them: takes up who speaks, parks who is silent.

One epoll instance holds the silent connections' descriptors and is itself watched by the loop, so that a
silent connection is in no selector, timer heap or set of the loop: 16,000 of them cost no work until they
speak or their time is up. Each kind of work is done in bounded turns, between which the loop serves others.
"""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from pepperrun.core.clock import SECOND
from pepperrun.log import log_message
from pepperrun.net.listener import ConnectionSnapshot
from pepperrun.parking import wire
from pepperrun.parking.config import ClientsConfig
from pepperrun.parking.holders import SPARE, Holders
from pepperrun.parking.ledger import LATER_NS, Rank, Record, State
from pepperrun.parking.shelf import Shelf

HAND_OVER = 3, 4  # past this part of the descriptors here, the longest silent go to holders
IN_A_TURN = 4  # batches handed over
GIVE_WAY = 64  # connections at a time
LOOK_NS = SECOND // 50  # between looks at one connection that is taken up, at least
SCAN_S = 0.02  # between looks for idle ones among all that are taken up, while others wait
SHORT_S = 0.1  # when the system has no descriptor or memory for a connection


def record_of(front: int, snapshot: ConnectionSnapshot) -> Record:
    """What is kept of a connection."""
    answers, asked, since, held, held_at = snapshot
    rank = Rank(min(Rank.OFTEN, Rank.UNASKED + asked)) if answers else Rank.SILENT
    return Record(front, rank, since, held, held_at)


def snapshot_of(record: Record) -> ConnectionSnapshot:
    """The other way."""
    answers = 0 if record.rank is Rank.SILENT else 1
    return answers, max(0, record.rank - Rank.UNASKED), record.since, record.held, record.held_at


def unknot(transport: asyncio.Transport | None) -> None:
    """Lets go of a transport that will read no more at once, not at the collector's next full round.

    The loop's transport refers to itself through a bound method. Thousands of them that are given up in a
    second made the collector stop the loop for 50 ms. Where the loop has no such attribute nothing changes.
    """
    if transport is not None:
        vars(transport).pop("_read_ready_cb", None)


class Client(Protocol):
    """A connection that is taken up, as the lot sees it."""

    transport: asyncio.Transport | None
    fd: int
    listener: Any

    def expires_at(self, crowded: bool) -> int | None: ...

    def expire(self) -> None: ...

    def idle_since(self) -> int | None: ...

    def snapshot(self) -> ConnectionSnapshot: ...

    def park(self) -> None: ...


class Front(Protocol):
    """What connections of one number are taken up by."""

    family: int

    def revive(self, snapshot: ConnectionSnapshot, woken: int) -> asyncio.BufferedProtocol: ...

    def resume(self) -> None: ...


class Lot:
    """Owns the records, the holders and the timers; fronts register and bring new connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        config: ClientsConfig,
        most_here: int,
    ) -> None:
        self.loop, self.clock, self.config, self.most_here = loop, clock, config, most_here
        self.fronts: list[Front] = []
        self.clients: dict[int, Client] = {}
        self.shelf = Shelf(config, clock)
        self.ledger, self.budget = self.shelf.ledger, self.shelf.budget
        self.holders: Holders | None = None
        if config.holders:
            self.holders = Holders(
                loop,
                clock() - time.monotonic_ns(),
                self._times(),
                config.holders,
                self._returned,
                self.resume,
            )
        self.draining = False
        self.paused = False  # a front waits for room
        self.resumed = 0  # connections taken up from a record
        self.handed = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._armed: int | None = None
        self._serving = self._handing = False
        self._idle: deque[int] = deque()  # answered while others waited, in that order
        self._scan: asyncio.TimerHandle | None = None
        self._served = 0, 0  # how many were taken up last, and when, if the loop came straight back from it
        loop.add_reader(self.shelf.epoll.fileno(), self._look)

    # Room.

    def total(self) -> int:
        """Connections in all, here and with holders."""
        return len(self.ledger) + (self.holders.held() if self.holders is not None else 0)

    def free(self) -> bool:
        """Is there room for one more?"""
        return self.total() < self.config.most and len(self.ledger) < self.most_here

    def room(self) -> bool:
        """Is there room for one more, if those that are missed least give way?"""
        if self.free():
            return True
        away = self.holders is not None and self.holders.room() and self.ledger.parked > 0
        if away and self.total() < self.config.most:
            self.settle()  # only here it is full: nobody gives way while others can be handed over
            return False
        most = min(GIVE_WAY, 1 + self.config.most // 4)
        here = self.ledger.giving_way(most, self.clock())
        if len(self.ledger) < self.most_here and self.holders is not None:
            # Of one rank those with holders have been silent longer: they were handed over for that.
            lowest = self.holders.lowest()
            first = self.ledger.rank[here[0]] if here else len(Rank)
            if lowest is not None and lowest <= first and self.holders.give_way(most):
                return False
        if here and self.shelf.give_way(here):
            return True
        log_message("limit", f"all {self.total()} client connections are in use; accepting later")
        return False

    def short(self) -> None:
        """The system has no descriptor for a connection: some give way, for what is taken needs some too."""
        self.shelf.give_way(self.ledger.giving_way(GIVE_WAY, self.clock()))

    def resume(self) -> None:
        """Accepting may go on, if there is room."""
        if self.paused:
            self.paused = False
            for front in self.fronts:
                front.resume()

    # New, silent and speaking ones.

    def add(self, fd: int, front: int, now: int) -> None:
        """A new connection, which has said nothing yet."""
        self.shelf.put(fd, Record(front, Rank.SILENT, now))

    def settle(self) -> None:
        """After connections were added or parked: timers and holders see to them."""
        self._arm()
        if self.holders is not None and not self._handing and self._crowded_here():
            self._handing = True
            self.loop.call_soon(self._hand_over)

    def _look(self) -> None:
        self.shelf.look()
        if self.shelf.ledger.woken:
            self._serve()
        self.resume()

    def _returned(self, fd: int, record: Record) -> None:
        """A holder gives a connection back: it has spoken."""
        self.ledger.park(fd, record)
        self.ledger.wake(fd, self.clock())
        self._later()

    def _later(self) -> None:
        if not self._serving:
            self._serving = True
            self.loop.call_soon(self._serve_on)

    def _serve_on(self) -> None:
        self._serving = False
        self._serve()

    def _serve(self) -> None:
        """Takes up a bounded number of those that have spoken.

        What one costs shows only in the turns that follow, when its transport is made and its request is read
        and answered: while some still wait, the time from one turn to the next is what the last ones took.
        """
        start, (last, before) = time.perf_counter_ns(), self._served
        if last:
            self.budget.spent("take up", last, start - before)
        most, count = self.budget.allow("take up"), 0
        while count < most and (up := self.ledger.next_up()) is not None:
            self._take_up(*up)
            count += 1
        self._served = 0, 0
        if self.ledger.crowded():
            self._park_idle()
        elif self.ledger.woken:
            self._served = count, start
            self._later()

    def _take_up(self, fd: int, record: Record, woken: int) -> None:
        front = self.fronts[record.front]
        try:
            sock = socket.socket(front.family, socket.SOCK_STREAM, 0, fileno=fd)
            sock.setblocking(False)
        except OSError:
            self.ledger.drop(fd)
            os.close(fd)
            return
        self.resumed += 1
        task = self.loop.create_task(self._connect(front, sock, record, woken))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, front: Front, sock: socket.socket, record: Record, woken: int) -> None:
        fd, snapshot = sock.fileno(), snapshot_of(record)
        try:
            await self.loop.connect_accepted_socket(lambda: front.revive(snapshot, woken), sock)
        except OSError:
            if fd not in self.clients:
                self.ledger.drop(fd)
            sock.close()

    def up(self, client: Client) -> None:
        """A connection has its transport."""
        assert client.transport is not None
        client.fd = fd = client.transport.get_extra_info("socket").fileno()
        self.clients[fd] = client
        self._watch(fd, client)
        self._arm()

    def down(self, client: Client) -> None:
        """A connection has ended that was taken up; its descriptor is still its own."""
        if self.clients.get(client.fd) is client:
            del self.clients[client.fd]
            self.ledger.drop(client.fd)
        if self.ledger.woken:
            self._later()
        self.resume()

    # Parking.

    def _watch(self, fd: int, client: Client) -> None:
        """When to look at it again: once in a while for all that it did meanwhile, not for each request."""
        later = self.clock() + max(LOOK_NS, min(LATER_NS, self.config.park_after_ns))
        due = client.expires_at(False)
        self.ledger.watch(fd, later if due is None else min(due, later))

    def _tend(self, fd: int) -> None:
        """A connection that is taken up wants a look."""
        client = self.clients.get(fd)
        if client is None:
            return
        now, due = self.clock(), client.expires_at(False)
        if due is not None and now >= due:
            client.expire()
            if self.ledger.state[fd] == State.TAKEN:
                self.ledger.watch(fd, now + LATER_NS)
            return
        since = client.idle_since()
        if since is None or now - since < self.config.park_after_ns or not self._park(fd, client):
            self._watch(fd, client)

    def _park(self, fd: int, client: Client) -> bool:
        """Gives up a connection's transport, protocol and buffer; False where it can't be done now.

        The loop's transport closes its descriptor, so a second one to the same connection is kept. What comes
        between the last look and now stays in the system's buffer: the epoll instance tells at once.
        """
        transport = client.transport
        if transport is None or transport.is_closing():
            return False
        if client.idle_since() is None:
            return False
        record = record_of(client.listener.number, client.snapshot())
        try:
            kept = os.dup(fd)
        except OSError:  # no descriptor left: it stays as it is
            return False
        del self.clients[fd]
        self.ledger.drop(fd)
        client.park()
        unknot(transport)
        self.shelf.put(kept, record)
        return True

    def answered(self, client: Client) -> None:
        """A connection has had its answer; if others wait for its place, it is parked before its time."""
        if self.ledger.crowded():
            self._idle.append(client.fd)
            self._later()

    def _park_idle(self) -> None:
        """Others wait to be taken up: those that hold no request make way for them, longest idle first."""
        most = min(len(self.ledger.woken), self.budget.allow("park"))
        count, start = 0, time.perf_counter_ns()
        while count < most and self._idle:
            fd = self._idle.popleft()
            client = self.clients.get(fd)
            count += client is not None and self._park(fd, client)
        self.budget.spent("park", count, time.perf_counter_ns() - start)
        if count:
            self._later()
        elif self._scan is None:  # those that were idle before anybody waited: one look at all in a while
            self._scan = self.loop.call_later(SCAN_S, self._find_idle)

    def _find_idle(self) -> None:
        self._scan = None
        if self.ledger.crowded():
            idle = [
                (since, fd) for fd, one in self.clients.items() if (since := one.idle_since()) is not None
            ]
            self._idle = deque(fd for _, fd in sorted(idle))
            self._serve()
        else:
            self._idle.clear()

    # Time.

    def _arm(self) -> None:
        """Sets the loop's timer to the first moment at which something may be due."""
        wake = self.ledger.wheel.wake()
        if wake is None or self._armed is not None and self._armed <= wake:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._armed = wake
        self._timer = self.loop.call_later(max(0, wake - self.clock()) / SECOND, self._tick)

    def _tick(self) -> None:
        self._timer = self._armed = None
        for fd in self.shelf.expire():
            self._tend(fd)
        if self.ledger.woken:
            self._later()
        self.settle()
        self.resume()

    # Other processes.

    def _times(self) -> wire.Times:
        config = self.config
        soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        most = config.most if soft == resource.RLIM_INFINITY else max(wire.BATCH, soft - SPARE)
        return wire.Times(config.idle_ns, config.first_byte_ns, config.give_way_ns, config.turn_ns, most)

    def _crowded_here(self) -> bool:
        part, whole = HAND_OVER
        return len(self.ledger) * whole > self.most_here * part and self.ledger.parked > 0

    def _hand_over(self) -> None:
        """The longest silent go to holders, a few batches a turn."""
        self._handing = False
        assert self.holders is not None
        for _ in range(IN_A_TURN):
            if not self._crowded_here():
                break
            fds = self.ledger.longest_silent(wire.BATCH, self.clock())
            batch = [(fd, self.ledger.record(fd)) for fd in fds]
            if not batch or not self.holders.keep(batch):
                if self.holders.room():
                    self._handing = True
                    self.loop.call_later(0.01, self._hand_over)
                break
            self.handed += len(fds)
            for fd in fds:
                self.shelf.close(fd)  # the holder has its own
        else:
            self._handing = True
            self.loop.call_soon(self._hand_over)
        self.resume()

    # Changes and the end.

    def follow(self, config: ClientsConfig) -> list[str]:
        """Other times and limits hold from now on, for what is parked too; the keys that wait for a start."""
        fixed = [
            key
            for key in ("holders", "most_here", "backlog")
            if getattr(config, key) != getattr(self.config, key)
        ]
        self.config = config
        self.shelf.follow(config)
        if self.holders is not None:
            self.holders.follow(self._times())
        self._armed = None
        self._arm()
        self.resume()
        return fixed

    async def drain(self) -> None:
        """Closes what has been served and is silent, in bounded turns."""
        self.draining = True
        if self.holders is not None:
            self.holders.drain()
        for rank in (Rank.UNASKED, Rank.ONCE, Rank.OFTEN):
            await self._close_all(rank)

    async def _close_all(self, rank: Rank) -> None:
        while True:
            fds = []
            for fd in self.ledger.order.members(rank):
                fds.append(fd)
                if len(fds) >= GIVE_WAY:
                    break
            if not fds:
                return
            self.shelf.give_way(fds)  # those with something to say wait to be taken up
            if self.ledger.woken:
                self._later()
            await asyncio.sleep(0)

    async def finish(self) -> None:
        """Closes all that is silent, and waits until what has spoken is taken up."""
        if self.holders is not None:
            self.holders.finish()
        while True:
            for rank in Rank:
                await self._close_all(rank)
            away = self.holders is not None and not self.holders.finished()
            if not away and not self.ledger.parked and not self.ledger.woken and not self._tasks:
                return
            if self.ledger.woken:
                self._later()
            await asyncio.sleep(0.005)

    def close(self) -> None:
        """Ends it all."""
        self.loop.remove_reader(self.shelf.epoll.fileno())
        if self._timer is not None:
            self._timer.cancel()
        for fd, state in enumerate(self.ledger.state):
            if state in (State.PARKED, State.WAITING):
                self.shelf.close(fd)
        if self.holders is not None:
            self.holders.close()
        self.shelf.epoll.close()
