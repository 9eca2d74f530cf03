"""The sending side: answers ticks, repairs, and pushes what is new to those who attach for that.

Core machines and relaying gatekeepers use the same one. It has no I/O of its own: links come in as ports,
time as steady nanoseconds, and `turn` is called when due.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, Protocol

from pepperrun.control.order_deduplication import without_older
from pepperrun.control.records import GatewayRecord, Worker
from pepperrun.distribution import repair
from pepperrun.distribution.digests import Record, record_id
from pepperrun.distribution.messages import TICK, WANT, Agreed, Change, Tick, Tock, Want
from pepperrun.foundation.netstring import Message, encode, length

BATCH_MS = 15  # records that change together go together
SILENT_NS = 5_000_000_000  # gatekeepers tick each 400 ms: one that is silent for so long is gone
UNDER_WAY_NS = 2_000_000_000  # what was sent so lately is not sent again: it is on its way
HISTORY = 64  # changes kept for those who are a little behind
HISTORY_BYTES = 256 * 1024
LONG_BYTES = 32 * 1024  # on the link: 0.13 s of 2 Mbit/s, the narrowest that there is
LONG_NS = 5_000_000_000  # a long one that is not told of as held after this is not waited for any more
PASSED_NS = 600_000_000  # what is too long to be passed on has come from the core by then, or is passed on


class Port(Protocol):
    """One link; `foundation.link.Link` is one."""

    name: str

    def write(self, frame: bytes) -> None: ...

    def unsent(self) -> int:
        """Bytes written and not yet gone out."""
        ...

    def close(self) -> None: ...


class Source(repair.Copy, Protocol):
    """Whose news is sent: the core's cells and agreement, or a relay's book."""

    @property
    def number(self) -> int: ...

    @property
    def state(self) -> dict[str, Any] | None: ...

    @property
    def cores(self) -> list[list[str]]:
        """[ip, zone] of each core machine."""
        ...

    def age_ms(self, now: int) -> float | None:
        """How long ago `number` was known to be the newest acknowledged; None: not known."""
        ...

    def beat(self, gateway: GatewayRecord, now: int) -> None:
        """A gatekeeper has told of itself on its own link (each tick; the row may be as before)."""
        ...

    def merge(self, workers: list[Worker], gateways: list[GatewayRecord], now: int) -> object:
        """Rows came from another process; the newer ones count. The source then calls `changed`."""
        ...


def seal(state: dict[str, Any]) -> str:
    """A short check that two copies of a number's state agree: what differs first if a change is misread.

    `taken` holds the digests of the configurations that led here, so the whole need not be hashed again.
    """
    counts = [len(state.get(name) or ()) for name in ("routes", "carrier_lines", "senders")]
    text = repr([state.get("edition"), counts, state.get("evacuated"), (state.get("taken") or [None])[-1]])
    return blake2b(text.encode(), digest_size=8).hexdigest()


@dataclass(slots=True)
class _Peer:
    """What is known of the other side of a link."""

    heard_at: int
    number: int = -1  # what it holds, or will once it has read what was sent; -1 before its first word
    held: int = -1  # what it said that it holds
    since: int = 0  # since when more than that is on its way, and nothing of it has come
    long: int = -1  # the number of the last long one that was sent
    long_at: int = 0
    pushed: bool = False  # it attaches for the pushes
    gateway: GatewayRecord | None = None
    cores: list[list[str]] | None = None  # as last told
    room: int = 0  # bytes: longer changes are not passed on to it by relays; 0: they are


class Publisher:
    """Sends `source`'s news to links. `alarm(due)` asks for a `turn` at that time (steady ns).

    `room`: bytes that the own link carries to all that attach here before answers to clients wait for long. A
    longer change is not passed on: the core, whose links are wide, sends it to each gatekeeper that ticks
    there and told its own `room`. 0: all is passed on.
    """

    def __init__(self, source: Source, alarm: Callable[[int], None], room: int = 0) -> None:
        self.source, self.alarm, self.room = source, alarm, room
        self.grown_at = 0
        self.peers: dict[Port, _Peer] = {}
        self.batch: dict[str, Record] = {}
        self.due = 0  # when the batch goes; 0 for no batch
        self.history: list[tuple[int, int, bytes]] = []  # base, number, frame; each base is the number before
        self.whole: tuple[int, bytes] = (0, b"")  # the whole state's frame, once encoded
        self.swept = 0

    def joined(self, port: Port, hello: Message, now: int) -> None:
        """A link to a gatekeeper has come up."""
        self.peers[port] = _Peer(now, room=int(hello.get("room") or 0))

    def left(self, port: Port, now: int) -> None:
        """It has ended."""
        self.peers.pop(port, None)

    def heard(self, port: Port, message: Message, now: int) -> bool:
        """Takes `tick`, `want`, `ask`, `cells`, `digests`; False for other kinds.

        KeyError, TypeError or ValueError where a message can't be meant: the link then ends.
        """
        peer = self.peers.get(port)
        if peer is None:
            return False
        peer.heard_at = now
        kind = message["k"]
        if kind == TICK:
            self._tick(port, peer, Tick.read(message), now)
        elif kind == WANT:
            self._wanted(port, peer, Want.read(message), now)
        elif kind in ("ask", "cells", "digests"):
            for back in repair.heard(self.source, self.source.merge, message, now):
                port.write(encode(back))
        else:
            return False
        return True

    def _wanted(self, port: Port, peer: _Peer, want: Want, now: int) -> None:
        """It holds `want.number` and asks for what came after.

        A link carries all that is written to it, in order. So what was sent is on its way, however long that
        takes, and only what came after it goes out; all of it again if nothing of it comes for too long.
        """
        if want.number != peer.held:
            peer.held, peer.since = want.number, now
        overdue = now - peer.since > UNDER_WAY_NS
        if overdue and port.unsent():
            overdue, peer.since = False, now
        if want.whole or overdue:
            peer.number, peer.long, peer.since = want.number, -1, now
        peer.number = max(peer.number, want.number)
        self._bring(port, peer, now, want.whole, asked=True)

    def _tick(self, port: Port, peer: _Peer, tick: Tick, now: int) -> None:
        source = self.source
        if tick.gateway is not None:
            peer.gateway = tick.gateway
        if peer.gateway is not None:
            source.beat(peer.gateway, now)
        age = source.age_ms(now)
        age_ms = None if age is None else math.ceil(age)
        cores = None
        if source.cores != peer.cores:
            cores = peer.cores = [list(row) for row in source.cores]
        tock = Tock(tick.sent_at, age_ms, source.number, source.sums.whole(), cores)
        port.write(encode(tock.wire()))
        peer.number = max(peer.number, tick.number)  # not less where more is on its way
        if tick.number != peer.held:
            peer.held, peer.since = tick.number, now
        peer.pushed = tick.attaches
        if tick.attaches and peer.number < source.number:
            self._bring(port, peer, now)
        if now - self.swept > SILENT_NS // 5:
            self._sweep(now)

    def _sweep(self, now: int) -> None:
        self.swept = now
        for port in [port for port, peer in self.peers.items() if now - peer.heard_at > SILENT_NS]:
            del self.peers[port]
            port.close()

    def agreed(self, change: tuple[int, dict[str, Any]] | None, now: int) -> None:
        """`source.number` has grown, by `change` (base, op) where that was one operation. Pushed at once."""
        number, state = self.source.number, self.source.state
        self.grown_at = now
        if change is None or state is None or (self.history and self.history[-1][1] != change[0]):
            self.history.clear()
        if change is not None and state is not None:
            base, op = change
            frame = encode(Change(base, number, op, seal(state)).wire())
            self.history.append((base, number, frame))
            while len(self.history) > HISTORY or sum(len(one[2]) for one in self.history) > HISTORY_BYTES:
                del self.history[0]
        for port, peer in list(self.peers.items()):
            if peer.pushed or (peer.room and peer.gateway is not None):
                self._bring(port, peer, now)

    def _passed_on(self, peer: _Peer, frames: list[bytes], now: int) -> bool:
        """Is that for this process to send to a peer that has not asked?"""
        if peer.pushed and (not self.room or now - self.grown_at >= PASSED_NS):
            return True
        size = sum(length(frame) for frame in frames)
        return size <= self.room if peer.pushed else size > peer.room

    def _bring(self, port: Port, peer: _Peer, now: int, whole: bool = False, asked: bool = False) -> None:
        """Sends what a peer lacks: the changes on top of what it holds, else the whole."""
        number, state = self.source.number, self.source.state
        if state is None or peer.number >= number:
            return
        missing: list[bytes] = []
        at = peer.number
        for base, after, frame in self.history:
            if base == at:
                missing.append(frame)
                at = after
        if whole or at != number or peer.number <= 0:
            if self.whole[0] != number:
                self.whole = (number, encode(Agreed(number, without_older(state)).wire()))
            missing = [self.whole[1]]
        if not asked and not self._passed_on(peer, missing, now):
            return
        is_long = sum(length(frame) for frame in missing) > LONG_BYTES
        if is_long and not whole and peer.held < peer.long and now - peer.long_at < LONG_NS:
            return  # one is on its way; once that is held, the newest then goes at once instead of each
        if is_long:
            peer.long, peer.long_at = number, now
        if peer.number <= peer.held:
            peer.since = now
        peer.number = number
        for frame in missing:
            port.write(frame)

    def changed(self, records: Iterable[Record], now: int) -> None:
        """These records have changed; they are pushed within BATCH_MS."""
        if not any(peer.pushed for peer in self.peers.values()):
            return  # whoever attaches later compares digests
        self.batch |= {record_id(record): record for record in records}
        if self.batch and not self.due:
            self.due = now + BATCH_MS * 1_000_000
            self.alarm(self.due)

    def turn(self, now: int) -> None:
        """Sends what is due."""
        if not self.due or now < self.due:
            return
        self.due = 0
        frame = encode(repair.rows(self.batch.values(), now))
        self.batch.clear()
        for port, peer in list(self.peers.items()):
            if peer.pushed:
                port.write(frame)
        self._sweep(now)
