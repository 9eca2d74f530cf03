"""Packs and unpacks what gateways tell each other. Nothing here decides anything.

A message is a header and entries of four kinds, little-endian:

    header  u8 version, u32 incarnation of the sender, u32 sequence number, u8 latency as the sender sees it,
            u8 entries, u8 asks, u8 answers, u8 marks; where there are entries u32 incarnation of the receiver
            as last heard (0: not heard)
    entry   u64 of 33 bits customer, 1 bit that ceiling fields follow, 1 bit that attempts out follow, 5 spare
            bits and 24 bits total; u16 debt; where so said u16 ceiling level and u16 handed over; where so
            said u8 attempts out
    ask     u40 of 33 bits customer and 7 bits plan; u32 request, u16 units, i16 owed, u16 first, u16 spread
    answer  u40 of 33 bits customer, 1 bit near its quota, 1 bit beyond it, 1 bit granted and 4 spare bits;
            u32 request, u16 units where granted, else wait in ms
    mark    u32 backend, u8 class, u8 age in 50 ms, u8 badness in 255ths

Amounts are in sixteenths of a unit. `total` counts the units that the sender sent since its start, and wraps;
`debt` is what it lately used of its slice; `latency` is in hundredths of an aim; `handed over` are ceiling
units that the sender gave up for the receiver (no ceiling fields: the sender's part of it is far from spent);
`owed` is what it used without asking, or gives back. Messages are paid for by the byte.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Container
from dataclasses import dataclass, field

from pepperrun.core.clock import SECOND, DecayingSum
from pepperrun.core.interface import MAX_PLANS

USED_HALF_LIFE = SECOND
USED_RATE = 0.69  # a second, of a sum that halves in one
VERSION = 4
MAX_BYTES = 256
STEP = 16
_HEADER = struct.Struct("<BIIBBBBB")
_RECEIVER = struct.Struct("<I")
_ENTRY = struct.Struct("<QH")
_CEILING = struct.Struct("<HH")
_CUSTOMER = 2**33
_HAS_CEILING, _HAS_OUT, _TOTAL_AT = 2**33, 2**34, 40
TOTALS = 2**24  # a total wraps here
_ASK = struct.Struct("<5sIHhHH")
_ANSWER = struct.Struct("<5sIH")
_NEAR, _BEYOND, _GRANTED, _PLAN_AT = 2**33, 2**34, 2**35, 33
_MARK = struct.Struct("<IBBB")
MAX_MARKS = 2
TELL_MORE = 2  # times that a sighting is passed on, beyond the logarithm of the number of gateways
SAME = 1 / 64  # badness that differs by less is the same
AGE_NS = 50_000_000
TENTH = 100_000_000  # incarnations count these: they wrap after 13 years, and one start takes longer
MOST_ENTRY = _ENTRY.size + _CEILING.size + 1
MAX_ENTRIES = (MAX_BYTES - _HEADER.size - _RECEIVER.size - MAX_MARKS * _MARK.size) // MOST_ENTRY


FAR = float("inf")


@dataclass(slots=True)
class Entry:
    """What a gateway tells of one customer. `ceiling`: FAR where it is far from spent."""

    customer: int
    total: float
    debt: float
    ceiling: float
    handed: float
    out: int

    def size(self) -> int:
        """Bytes in a message."""
        return _ENTRY.size + _CEILING.size * (self.ceiling < FAR) + (self.out > 0)


@dataclass(slots=True)
class Ask:
    """A gateway asks a customer's keeper for units; with 0 it only tells what it owes."""

    customer: int
    request: int
    units: float
    owed: float
    plan: int
    first: int
    spread: int


@dataclass(slots=True)
class Answer:
    """A keeper's answer: the units asked for, or 0 and how long to stay away."""

    customer: int
    request: int
    units: float
    wait_ms: int
    near: bool
    beyond: bool


@dataclass(slots=True)
class Mark:
    """How badly a backend does with a class, and how old the last attempt is that shows it."""

    backend: int
    cls: int
    age_ns: int
    bad: float


@dataclass(slots=True)
class Message:
    """What a gateway tells another one at a time."""

    incarnation: int
    sequence: int
    receiver: int
    latency: float = 0.0
    entries: list[Entry] = field(default_factory=list)
    asks: list[Ask] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    marks: list[Mark] = field(default_factory=list)

    def full(self) -> bool:
        """Has it no room for one more ask or answer?"""
        size = (
            _HEADER.size
            + _RECEIVER.size
            + MAX_MARKS * _MARK.size
            + sum(entry.size() for entry in self.entries)
            + len(self.asks) * _ASK.size
        )
        return size + len(self.answers) * _ANSWER.size + max(_ASK.size, MOST_ENTRY) > MAX_BYTES


def to_wire(amount: float) -> float:
    """The amount that arrives when `amount` is told: rounded down to the step, within what fits."""
    return min(65535, max(0, int(amount * STEP))) / STEP


def _since(now: int, before: int, wrap: int = 2**32) -> int:
    """How far a count that wraps has come; below 0 where `now` is the older one."""
    return (now - before + wrap // 2) % wrap - wrap // 2


def _steps(amount: float) -> int:
    return int(to_wire(amount) * STEP)


def owed_on_wire(amount: float) -> float:
    """What of an amount owed, or with a minus to be given back, one ask carries."""
    return max(-(2**15), min(2**15 - 1, round(amount * STEP))) / STEP


def pack(message: Message) -> bytes:
    """The bytes of a message."""
    entries = message.entries[:MAX_ENTRIES]
    latency = min(255, max(0, int(message.latency * 100)))
    ids = (message.incarnation, message.sequence, latency)
    parts = [
        _HEADER.pack(VERSION, *ids, len(entries), len(message.asks), len(message.answers), len(message.marks))
    ]
    if entries:
        parts.append(_RECEIVER.pack(message.receiver))
    for entry in entries:
        near, out = entry.ceiling < FAR, min(255, entry.out)
        word = entry.customer % _CUSTOMER + _HAS_CEILING * near + _HAS_OUT * (out > 0)
        total = round(entry.total * STEP) % TOTALS
        parts.append(_ENTRY.pack(word + (total << _TOTAL_AT), _steps(entry.debt)))
        if near:
            parts.append(_CEILING.pack(_steps(entry.ceiling), _steps(entry.handed)))
        if out > 0:
            parts.append(bytes((out,)))
    for ask in message.asks:
        word = ask.customer % _CUSTOMER + (ask.plan % MAX_PLANS << _PLAN_AT)
        units, owed = _steps(ask.units), int(owed_on_wire(ask.owed) * STEP)
        parts.append(_ASK.pack(word.to_bytes(5, "little"), ask.request, units, owed, ask.first, ask.spread))
    for answer in message.answers:
        granted = answer.units > 0
        value = _steps(answer.units) if granted else min(65535, max(0, answer.wait_ms))
        word = (
            answer.customer % _CUSTOMER + _NEAR * answer.near + _BEYOND * answer.beyond + _GRANTED * granted
        )
        parts.append(_ANSWER.pack(word.to_bytes(5, "little"), answer.request, value))
    for mark in message.marks:
        age = min(255, max(0, mark.age_ns // AGE_NS))
        parts.append(_MARK.pack(mark.backend, mark.cls, age, int(min(1.0, max(0.0, mark.bad)) * 255)))
    return b"".join(parts)


def _unpack_entries(data: bytes, at: int, count: int) -> tuple[list[Entry], int]:
    """The entries and where they end; past the data's end where it is too short."""
    entries = []
    for _ in range(count):
        if at + _ENTRY.size > len(data):
            return [], len(data) + 1
        word, debt = _ENTRY.unpack_from(data, at)
        at += _ENTRY.size
        ceiling, handed, out = FAR, 0.0, 0
        if word & _HAS_CEILING:
            if at + _CEILING.size > len(data):
                return [], len(data) + 1
            level, given = _CEILING.unpack_from(data, at)
            ceiling, handed = level / STEP, given / STEP
            at += _CEILING.size
        if word & _HAS_OUT:
            if at >= len(data):
                return [], len(data) + 1
            out = data[at]
            at += 1
        total = (word >> _TOTAL_AT) / STEP
        entries.append(Entry(word % _CUSTOMER, total, debt / STEP, ceiling, handed, out))
    return entries, at


def _ask(word: bytes, request: int, units: int, owed: int, first: int, spread: int) -> Ask:
    what = int.from_bytes(word, "little")
    plan = what >> _PLAN_AT
    return Ask(what % _CUSTOMER, request, units / STEP, owed / STEP, plan, first, spread)


def _answer(word: bytes, request: int, value: int) -> Answer:
    what = int.from_bytes(word, "little")
    near, beyond, granted = bool(what & _NEAR), bool(what & _BEYOND), bool(what & _GRANTED)
    return Answer(what % _CUSTOMER, request, value / STEP * granted, 0 if granted else value, near, beyond)


def unpack(data: bytes) -> Message | None:
    """The message in these bytes; None when they are garbled, oversized or of a foreign version."""
    if not _HEADER.size <= len(data) <= MAX_BYTES or data[0] != VERSION:
        return None
    _, incarnation, sequence, latency, count, asks, answers, marks = _HEADER.unpack_from(data)
    at, receiver = _HEADER.size, 0
    if count:
        if len(data) < at + _RECEIVER.size:
            return None
        (receiver,) = _RECEIVER.unpack_from(data, at)
        at += _RECEIVER.size
    entries, asks_at = _unpack_entries(data, at, count)
    answers_at = asks_at + asks * _ASK.size
    marks_at = answers_at + answers * _ANSWER.size
    if len(data) != marks_at + marks * _MARK.size:
        return None
    return Message(
        incarnation,
        sequence,
        receiver,
        latency / 100,
        entries,
        [_ask(*fields) for fields in _ASK.iter_unpack(data[asks_at:answers_at])],
        [_answer(*fields) for fields in _ANSWER.iter_unpack(data[answers_at:marks_at])],
        [
            Mark(backend, cls, age * AGE_NS, bad / 255)
            for backend, cls, age, bad in _MARK.iter_unpack(data[marks_at:])
        ],
    )


@dataclass(slots=True)
class Told:
    """What a peer last told of a customer, when, and how much of it the peer used lately."""

    incarnation: int
    entry: Entry
    at: int
    used: DecayingSum

    def unseen(self, now: int, most: int) -> float:
        """What it will have used since, at the rate of late, for at most so long."""
        return self.used.read(now) * USED_RATE * min(most, now - self.at) / SECOND


class Heard:
    """What the peers of a customer told of it: cumulative counts turned into use since the last message."""

    def __init__(self) -> None:
        self.told: dict[int, Told] = {}

    def take(self, peer: int, incarnation: int, entry: Entry, now: int) -> float:
        """Takes in an entry; the use that it adds. Units spent long ago have filled up again: the debt bounds
        what a first count, or one after a gap, adds."""
        told = self.told.get(peer)
        used = entry.debt
        if told is not None and told.incarnation == incarnation:
            more = _since(round(entry.total * STEP), round(told.entry.total * STEP), TOTALS) / STEP
            used = min(entry.debt, more)
        lately = told.used if told is not None else DecayingSum(USED_HALF_LIFE, now)
        lately.add(max(0.0, used), now)
        self.told[peer] = Told(incarnation, entry, now, lately)
        return used

    def since(self, at: int) -> list[Told]:
        """What was told since then."""
        return [told for told in self.told.values() if told.at > at]


class News:
    """What is known of each backend and class: the newest sighting wins, own or told, and is passed on.

    Each passes a sighting on a few times only: whoever hears it does so too, and the more gateways there are,
    the fewer times past the logarithm of their number reach anybody who has not heard.
    """

    def __init__(self, lasts: int, gateways: int) -> None:
        self.lasts, self.times = lasts, gateways.bit_length() + TELL_MORE
        self.known: dict[tuple[int, int], tuple[float, int]] = {}  # badness and when seen
        self.fresh: dict[tuple[int, int], tuple[int, int]] = {}  # passed on until, and how many times more

    def see(self, backend: int, cls: int, bad: float, at: int, spread: bool) -> None:
        """A sighting; older ones than the known one change nothing."""
        known, known_at = self.known.get((backend, cls), (-1.0, 0))
        if at - known_at < 2 * AGE_NS and abs(bad - known) < SAME:
            return  # the same, told by another: else what all tell each other would never grow old
        if at >= known_at:
            self.known[backend, cls] = (bad, at)
            if spread:
                self.fresh[backend, cls] = (at + self.lasts, self.times)

    def forget(self, kept: Container[int]) -> None:
        """Only of these backends is anything still of use."""
        self.known = {key: seen for key, seen in self.known.items() if key[0] in kept}
        self.fresh = {key: until for key, until in self.fresh.items() if key[0] in kept}

    def some(self, rng: random.Random, now: int) -> list[Mark]:
        """Some of the news, for one message."""
        self.fresh = {key: left for key, left in self.fresh.items() if left[0] > now and left[1] > 0}
        keys = rng.sample(list(self.fresh), min(len(self.fresh), MAX_MARKS))
        for key in keys:
            until, times = self.fresh[key]
            self.fresh[key] = (until, times - 1)
        return [Mark(*key, now - self.known[key][1], self.known[key][0]) for key in keys]


class Inbox:
    """Takes each peer's messages in order: garbled, repeated and outdated ones are dropped whole."""

    def __init__(self) -> None:
        self.peers: dict[int, tuple[int, int, int]] = {}  # peer: incarnation, last sequence, heard at
        self.garbled = 0  # messages that could not be read

    def accept(self, peer: int, data: bytes, now: int) -> Message | None:
        """The message in these bytes, if it is to be taken in."""
        message = unpack(data)
        if message is None:
            self.garbled += 1
            return None
        if peer in self.peers:
            incarnation, sequence, _ = self.peers[peer]
            newer = _since(message.incarnation, incarnation)
            if newer < 0 or newer == 0 and _since(message.sequence, sequence) <= 0:
                return None
        self.peers[peer] = (message.incarnation, message.sequence, now)
        return message

    def incarnation(self, peer: int) -> int:
        """The peer's incarnation as last heard, 0 if it was not."""
        return self.peers[peer][0] if peer in self.peers else 0


class Outbox:
    """Collects what goes to each peer at the end of a turn, in as few messages as hold it."""

    def __init__(self) -> None:
        self.incarnation = self.sequence = 0
        self.open: dict[int, Message] = {}
        self.closed: list[tuple[int, Message]] = []

    def to(self, peer: int) -> Message:
        """The message to a peer that has room for one more of anything."""
        if peer in self.open and self.open[peer].full():
            self.closed.append((peer, self.open.pop(peer)))
        if peer not in self.open:
            self.open[peer] = Message(self.incarnation, 0, 0)
        return self.open[peer]

    def empty(self) -> list[tuple[int, Message]]:
        """All messages with their peers, numbered in order."""
        out = self.closed + list(self.open.items())
        self.closed, self.open = [], {}
        for _, message in out:
            self.sequence = (self.sequence + 1) % 2**32
            message.sequence = self.sequence
        return out
