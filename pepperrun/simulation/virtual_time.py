"""Virtual time and virtual links (discrete-event simulation): each process has an event loop of its own.

The programs' own code runs on these loops. Timers, tasks, links and datagrams behave as on a machine, but
time is a number and one seed decides all delays. A frozen process runs nothing until it is thawed; its
machine's kernel still acknowledges. A machine without power says nothing to anybody.
"""

from __future__ import annotations

import asyncio
import heapq
import random
from asyncio import events
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

MS = 1_000_000
BREAKS = 2000 * MS  # unacknowledged bytes for so long: this end gives the link up
REPEAT = 200 * MS  # a lost packet of a link comes so much later
FAR = ("zone", "zones", "regions")
Address = tuple[str, int]


class World:
    """The queue of what happens, and the network. `most`: longest delays in a zone, a region, beyond (ms)."""

    def __init__(self, seed: int, most: tuple[float, float, float] = (1.0, 4.0, 40.0)) -> None:
        self.rng, self.now, self.turn = random.Random(seed), 0, 0
        self.queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.machines: dict[str, Machine] = {}
        self.cuts: set[tuple[str, str]] = set()  # nothing comes from the first ip to the second
        self.refused: set[tuple[str, str]] = set()  # the second ip refuses connections of the first
        self.loss, self.most = 0.0, most
        self.crashes: list[str] = []
        self.dead: list[Loop] = []  # kept, so that nothing of them is finished at a moment chosen by chance
        self.bytes = Counter[str]()  # by what carries them and how far

    def at(self, when: int, what: Callable[..., None], *args: Any) -> None:
        """Happens then."""
        self.turn += 1
        heapq.heappush(self.queue, (max(when, self.now), self.turn, what, args))

    def run(self, until: int) -> None:
        """Goes on until then."""
        queue = self.queue
        while queue and queue[0][0] <= until:
            self.now, _, what, args = heapq.heappop(queue)
            what(*args)
        self.now = until

    def delay(self, one: Machine, two: Machine) -> int:
        """Ns from one machine to another."""
        if one is two:
            return MS // 20
        return int(self.rng.uniform(0.5, 1.0) * self.most[self.far(one, two)] * MS)

    @staticmethod
    def far(one: Machine, two: Machine) -> int:
        """0: in one zone, 1: in one region, 2: farther."""
        return 0 if one.zone == two.zone else 1 if one.region == two.region else 2

    def carry(self, what: str, one: Machine, two: Machine, size: int) -> None:
        """Counts bytes."""
        if one is not two:
            self.bytes[f"{what} {FAR[self.far(one, two)]}"] += size

    def open(self, one: str, two: str) -> bool:
        """Does anything come from one to the other?"""
        machine = self.machines.get(two)
        return (one, two) not in self.cuts and machine is not None and machine.power

    def cut(self, ways: set[tuple[str, str]]) -> None:
        """Nothing goes these ways any more."""
        self.cuts |= ways

    def heal(self) -> None:
        """All cuts end; what was held up comes."""
        self.cuts.clear()
        for machine in self.machines.values():
            if machine.loop is not None:
                for end in list(machine.loop.ends):
                    end.flush()


class Machine:
    """A machine: an address, a place, and the process that runs on it, if any."""

    def __init__(self, world: World, name: str, ip: str, zone: str, region: str) -> None:
        self.world, self.name, self.ip, self.zone, self.region = world, name, ip, zone, region
        self.loop: Loop | None = None
        self.power, self.starts = True, 0
        self.skew = 0
        world.machines[ip] = self

    def boot(self) -> Loop:
        """A new process; where the power was off its steady clock begins anew."""
        if not self.power or not self.starts:
            self.skew = self.world.rng.randrange(1, 10**6) * MS - self.world.now
        self.power, self.starts = True, self.starts + 1
        self.loop = Loop(self)  # type: ignore[abstract]
        for other in self.world.machines.values():
            if other.loop is not None:
                for end in [one for one in other.loop.ends if one.peer.loop.machine is self]:
                    end.flush()
        return self.loop

    def kill(self, power: bool = False) -> None:
        """The process ends, with `power` the machine too and nobody is told."""
        loop, self.loop, self.power = self.loop, None, not power
        if loop is None:
            return
        loop.alive, loop.over = False, self.world.now
        self.world.dead.append(loop)
        for end in list(loop.ends):
            end.vanish(told=not power)


class Loop(asyncio.AbstractEventLoop):
    """The event loop of one process."""

    def __init__(self, machine: Machine) -> None:
        self.machine, self.world = machine, machine.world
        self.alive, self.frozen = True, False
        self.began, self.over = self.world.now, 1 << 62  # when this process ran
        self.backlog: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.servers: dict[int, Callable[[], Any]] = {}
        self.ends: dict[End, None] = {}
        self.hears: dict[int, Any] = {}  # datagram protocols by port

    def clock(self) -> int:
        """This machine's steady clock, ns."""
        return self.world.now + self.machine.skew

    def time(self) -> float:
        return self.clock() / 1e9

    def do(self, what: Callable[..., None], *args: Any) -> None:
        """Runs something in this process now, or when it is thawed."""
        if not self.alive:
            return
        if self.frozen:
            self.backlog.append((what, args))
            return
        before = events._get_running_loop()
        events._set_running_loop(self)
        try:
            what(*args)
        except Exception as error:
            self.crash(error)
        finally:
            events._set_running_loop(before)

    def crash(self, error: BaseException) -> None:
        """Something was not caught."""
        where = error.__traceback__
        while where is not None and where.tb_next is not None:
            where = where.tb_next
        at = f"{where.tb_frame.f_code.co_filename}:{where.tb_lineno}" if where else "?"
        self.world.crashes.append(f"{self.machine.name}: {type(error).__name__}: {error} at {at}")

    def thaw(self) -> None:
        """Goes on, with all that has come meanwhile, in order."""
        self.frozen = False
        backlog, self.backlog = self.backlog, []
        for what, args in backlog:
            self.do(what, *args)

    # What asyncio asks for.

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return True

    def is_closed(self) -> bool:
        return not self.alive

    def _run(self, handle: asyncio.Handle) -> None:
        if not handle.cancelled():
            handle._run()

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        self.world.at(self.world.now, self.do, self._run, handle)
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        due = int(when * 1e9) + 1 - self.machine.skew
        self.world.at(due, self.do, self._run, handle)
        return handle

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self.time() + max(0.0, delay), callback, *args, context=context)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        pass

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(self, coro: Any, *, name: Any = None, context: Any = None) -> asyncio.Task[Any]:
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None and self.alive:
            self.crash(error)

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:
        self.servers[port] = protocol_factory
        return self

    def close(self) -> None:
        self.servers.clear()

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        world, mine = self.world, self.machine
        await asyncio.sleep(2 * world.delay(mine, world.machines.get(host, mine)) / 1e9)
        both = world.open(mine.ip, host) and world.open(host, mine.ip)
        if not both:
            await asyncio.sleep(3600)
        other = world.machines[host].loop
        if other is None or port not in other.servers or (mine.ip, host) in self.world.refused:
            raise ConnectionRefusedError(host)
        near, far = End(self), End(other)
        near.peer, far.peer = far, near
        near.protocol, far.protocol = protocol_factory(), other.servers[port]()
        near.protocol.connection_made(near)
        world.at(world.now, other.do, far.protocol.connection_made, far)
        return near, near.protocol

    def datagrams(self, port: int, protocol: Any) -> None:
        """This protocol has a datagram socket at this port."""
        self.hears[port] = protocol
        protocol.connection_made(Datagrams(self, port))


class End(asyncio.Transport):
    """One end of a link."""

    peer: End
    protocol: Any

    def __init__(self, loop: Loop) -> None:
        super().__init__()
        self.loop, self.world = loop, loop.world
        self.closed, self.last, self.stuck = False, 0, 0
        self.held: list[bytes] = []
        loop.ends[self] = None

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        return 0

    def _ways(self) -> tuple[str, str]:
        return self.loop.machine.ip, self.peer.loop.machine.ip

    def write(self, data: Any) -> None:
        if self.closed:
            return
        world, (mine, other) = self.world, self._ways()
        world.carry("link", self.loop.machine, self.peer.loop.machine, len(data))
        if not self.stuck and not (world.open(mine, other) and world.open(other, mine)):
            self.stuck = world.now
            world.at(world.now + BREAKS, self._overdue, self.stuck)
        late = REPEAT if world.loss and world.rng.random() < world.loss else 0
        delay = world.delay(self.loop.machine, self.peer.loop.machine)
        self.last = max(self.last, world.now + delay + late)
        world.at(self.last, self._comes, bytes(data))

    def _overdue(self, since: int) -> None:
        mine, other = self._ways()
        if self.closed or self.stuck != since:
            return
        if self.world.open(mine, other) and self.world.open(other, mine):
            self.flush()
        else:
            self.vanish(told=True)
            self.loop.do(self.protocol.connection_lost, None)

    def _comes(self, data: bytes) -> None:
        mine, other = self._ways()
        if self.held or not self.world.open(mine, other):
            self.held.append(data)
        elif self.peer.closed:
            if self.world.open(other, mine):
                self._reset()
        else:
            self.peer.loop.do(self.peer._read, data)

    def _read(self, data: bytes) -> None:
        if not self.closed:
            self.protocol.data_received(data)

    def flush(self) -> None:
        """A cut has ended, or the other machine has its power again: what was held up is sent again."""
        mine, other = self._ways()
        if not (self.world.open(mine, other) and self.world.open(other, mine)):
            return
        self.stuck = 0
        held, self.held = self.held, []
        for data in held:
            self.last = max(self.last, self.world.now + self.world.rng.randrange(REPEAT))
            self.world.at(self.last, self._comes, data)

    def _reset(self) -> None:
        """The other side knows nothing of this link any more."""
        if not self.closed and self.loop.alive:
            self.vanish(told=False)
            self.loop.do(self.protocol.connection_lost, None)

    def vanish(self, told: bool) -> None:
        """This end is no more; the other side learns of it if a packet gets there."""
        self.closed = True
        self.loop.ends.pop(self, None)
        mine, other = self._ways()
        if told and not self.peer.closed and self.world.open(mine, other):
            at = max(self.last, self.world.now + self.world.delay(self.loop.machine, self.peer.loop.machine))
            self.world.at(at, self.peer._reset)

    def abort(self) -> None:
        if not self.closed:
            self.vanish(told=True)
            self.loop.call_soon(self.protocol.connection_lost, None)

    close = abort


class Datagrams(asyncio.DatagramTransport):
    """A datagram socket: what is lost is lost."""

    def __init__(self, loop: Loop, port: int) -> None:
        super().__init__()
        self.loop, self.port = loop, port

    def sendto(self, data: Any, addr: Any = None) -> None:
        world, mine = self.loop.world, self.loop.machine
        other = world.machines.get(addr[0])
        if other is not None:
            world.carry("datagram", mine, other, len(data))
        if other is not None and world.open(mine.ip, other.ip) and world.rng.random() >= world.loss:
            at = world.now + world.delay(mine, other)
            world.at(at, self._comes, other, addr[1], bytes(data), (mine.ip, self.port))

    @staticmethod
    def _comes(other: Machine, port: int, data: bytes, sender: Address) -> None:
        loop = other.loop
        if loop is not None and port in loop.hears:
            loop.do(loop.hears[port].datagram_received, data, sender)

    def close(self) -> None:
        self.loop.hears.pop(self.port, None)


def spawn(loop: Loop, coro: Coroutine[Any, Any, Any]) -> None:
    """Begins a task in a process."""
    loop.do(lambda: loop.create_task(coro).add_done_callback(_seen))


def _seen(task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and (error := task.exception()) is not None:
        loop = task.get_loop()
        assert isinstance(loop, Loop)
        loop.crash(error)
