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

USE_HALF_LIFE_NS = SECOND
USE_DECAY_PER_S = 0.69  # a second, of a sum that halves in one
VERSION = 4
MAX_BYTES = 256
STEPS_PER_UNIT = 16
_HEADER = struct.Struct("<BIIBBBBB")
_RECEIVER = struct.Struct("<I")
_ENTRY = struct.Struct("<QH")
_HARD_LIMIT = struct.Struct("<HH")
_CUSTOMER_COUNT = 2**33
_HAS_HARD_LIMIT, _HAS_IN_FLIGHT, _TOTAL_SHIFT = 2**33, 2**34, 40
TOTAL_WRAP = 2**24  # a total wraps here
_UNIT_REQUEST = struct.Struct("<5sIHhHH")
_UNIT_RESPONSE = struct.Struct("<5sIH")
_LOW_BALANCE, _OVER_QUOTA, _GRANTED, _PLAN_SHIFT = 2**33, 2**34, 2**35, 33
_BACKEND_REPORT = struct.Struct("<IBBB")
MAX_BACKEND_REPORTS = 2
EXTRA_FORWARDS = 2  # times that a sighting is passed on, beyond the logarithm of the number of gateways
SAME_SCORE_WITHIN = 1 / 64  # badness that differs by less is the same
AGE_STEP_NS = 50_000_000
INCARNATION_TICK_NS = (
    100_000_000  # incarnations count these: they wrap after 13 years, and one start takes longer
)
MAX_ENTRY_BYTES = _ENTRY.size + _HARD_LIMIT.size + 1
MAX_ENTRIES = (
    MAX_BYTES - _HEADER.size - _RECEIVER.size - MAX_BACKEND_REPORTS * _BACKEND_REPORT.size
) // MAX_ENTRY_BYTES


NOT_LOW = float("inf")


@dataclass(slots=True)
class UsageEntry:
    """What a gateway tells of one customer. `ceiling`: FAR where it is far from spent."""

    customer: int
    total_units: float
    local_used_units: float
    hard_limit_level: float
    transferred_units: float
    attempts_in_flight: int

    def size(self) -> int:
        """Bytes in a message."""
        return (
            _ENTRY.size + _HARD_LIMIT.size * (self.hard_limit_level < NOT_LOW) + (self.attempts_in_flight > 0)
        )


@dataclass(slots=True)
class UnitRequest:
    """A gateway asks a customer's keeper for units; with 0 it only tells what it owes."""

    customer: int
    request: int
    units: float
    owed: float
    plan: int
    first: int
    spread: int


@dataclass(slots=True)
class UnitResponse:
    """A keeper's answer: the units asked for, or 0 and how long to stay away."""

    customer: int
    request: int
    units: float
    wait_ms: int
    low_balance: bool
    over_quota: bool


@dataclass(slots=True)
class BackendReport:
    """How badly a backend does with a class, and how old the last attempt is that shows it."""

    backend: int
    cls: int
    age_ns: int
    failure_score: float


@dataclass(slots=True)
class Message:
    """What a gateway tells another one at a time."""

    incarnation: int
    sequence: int
    receiver_incarnation: int
    latency: float = 0.0
    entries: list[UsageEntry] = field(default_factory=list)
    unit_requests: list[UnitRequest] = field(default_factory=list)
    unit_responses: list[UnitResponse] = field(default_factory=list)
    backend_reports: list[BackendReport] = field(default_factory=list)

    def is_full(self) -> bool:
        """Has it no room for one more ask or answer?"""
        size = (
            _HEADER.size
            + _RECEIVER.size
            + MAX_BACKEND_REPORTS * _BACKEND_REPORT.size
            + sum(entry.size() for entry in self.entries)
            + len(self.unit_requests) * _UNIT_REQUEST.size
        )
        return (
            size + len(self.unit_responses) * _UNIT_RESPONSE.size + max(_UNIT_REQUEST.size, MAX_ENTRY_BYTES)
            > MAX_BYTES
        )


def quantize_units(amount: float) -> float:
    """The amount that arrives when `amount` is told: rounded down to the step, within what fits."""
    return min(65535, max(0, int(amount * STEPS_PER_UNIT))) / STEPS_PER_UNIT


def _wrapped_difference(now: int, before: int, wrap: int = 2**32) -> int:
    """How far a count that wraps has come; below 0 where `now` is the older one."""
    return (now - before + wrap // 2) % wrap - wrap // 2


def _to_steps(amount: float) -> int:
    return int(quantize_units(amount) * STEPS_PER_UNIT)


def quantize_owed(amount: float) -> float:
    """What of an amount owed, or with a minus to be given back, one ask carries."""
    return max(-(2**15), min(2**15 - 1, round(amount * STEPS_PER_UNIT))) / STEPS_PER_UNIT


def pack(message: Message) -> bytes:
    """The bytes of a message."""
    entries = message.entries[:MAX_ENTRIES]
    latency = min(255, max(0, int(message.latency * 100)))
    ids = (message.incarnation, message.sequence, latency)
    parts = [
        _HEADER.pack(
            VERSION,
            *ids,
            len(entries),
            len(message.unit_requests),
            len(message.unit_responses),
            len(message.backend_reports),
        )
    ]
    if entries:
        parts.append(_RECEIVER.pack(message.receiver_incarnation))
    for entry in entries:
        near, out = entry.hard_limit_level < NOT_LOW, min(255, entry.attempts_in_flight)
        word = entry.customer % _CUSTOMER_COUNT + _HAS_HARD_LIMIT * near + _HAS_IN_FLIGHT * (out > 0)
        total = round(entry.total_units * STEPS_PER_UNIT) % TOTAL_WRAP
        parts.append(_ENTRY.pack(word + (total << _TOTAL_SHIFT), _to_steps(entry.local_used_units)))
        if near:
            parts.append(
                _HARD_LIMIT.pack(_to_steps(entry.hard_limit_level), _to_steps(entry.transferred_units))
            )
        if out > 0:
            parts.append(bytes((out,)))
    for ask in message.unit_requests:
        word = ask.customer % _CUSTOMER_COUNT + (ask.plan % MAX_PLANS << _PLAN_SHIFT)
        units, owed = _to_steps(ask.units), int(quantize_owed(ask.owed) * STEPS_PER_UNIT)
        parts.append(
            _UNIT_REQUEST.pack(word.to_bytes(5, "little"), ask.request, units, owed, ask.first, ask.spread)
        )
    for answer in message.unit_responses:
        granted = answer.units > 0
        value = _to_steps(answer.units) if granted else min(65535, max(0, answer.wait_ms))
        word = (
            answer.customer % _CUSTOMER_COUNT
            + _LOW_BALANCE * answer.low_balance
            + _OVER_QUOTA * answer.over_quota
            + _GRANTED * granted
        )
        parts.append(_UNIT_RESPONSE.pack(word.to_bytes(5, "little"), answer.request, value))
    for mark in message.backend_reports:
        age = min(255, max(0, mark.age_ns // AGE_STEP_NS))
        parts.append(
            _BACKEND_REPORT.pack(
                mark.backend, mark.cls, age, int(min(1.0, max(0.0, mark.failure_score)) * 255)
            )
        )
    return b"".join(parts)


def _unpack_entries(data: bytes, at: int, count: int) -> tuple[list[UsageEntry], int]:
    """The entries and where they end; past the data's end where it is too short."""
    entries = []
    for _ in range(count):
        if at + _ENTRY.size > len(data):
            return [], len(data) + 1
        word, debt = _ENTRY.unpack_from(data, at)
        at += _ENTRY.size
        ceiling, handed, out = NOT_LOW, 0.0, 0
        if word & _HAS_HARD_LIMIT:
            if at + _HARD_LIMIT.size > len(data):
                return [], len(data) + 1
            level, given = _HARD_LIMIT.unpack_from(data, at)
            ceiling, handed = level / STEPS_PER_UNIT, given / STEPS_PER_UNIT
            at += _HARD_LIMIT.size
        if word & _HAS_IN_FLIGHT:
            if at >= len(data):
                return [], len(data) + 1
            out = data[at]
            at += 1
        total = (word >> _TOTAL_SHIFT) / STEPS_PER_UNIT
        entries.append(UsageEntry(word % _CUSTOMER_COUNT, total, debt / STEPS_PER_UNIT, ceiling, handed, out))
    return entries, at


def _unpack_unit_request(
    word: bytes, request: int, units: int, owed: int, first: int, spread: int
) -> UnitRequest:
    what = int.from_bytes(word, "little")
    plan = what >> _PLAN_SHIFT
    return UnitRequest(
        what % _CUSTOMER_COUNT, request, units / STEPS_PER_UNIT, owed / STEPS_PER_UNIT, plan, first, spread
    )


def _unpack_unit_response(word: bytes, request: int, value: int) -> UnitResponse:
    what = int.from_bytes(word, "little")
    near, beyond, granted = bool(what & _LOW_BALANCE), bool(what & _OVER_QUOTA), bool(what & _GRANTED)
    return UnitResponse(
        what % _CUSTOMER_COUNT,
        request,
        value / STEPS_PER_UNIT * granted,
        0 if granted else value,
        near,
        beyond,
    )


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
    answers_at = asks_at + asks * _UNIT_REQUEST.size
    marks_at = answers_at + answers * _UNIT_RESPONSE.size
    if len(data) != marks_at + marks * _BACKEND_REPORT.size:
        return None
    return Message(
        incarnation,
        sequence,
        receiver,
        latency / 100,
        entries,
        [_unpack_unit_request(*fields) for fields in _UNIT_REQUEST.iter_unpack(data[asks_at:answers_at])],
        [_unpack_unit_response(*fields) for fields in _UNIT_RESPONSE.iter_unpack(data[answers_at:marks_at])],
        [
            BackendReport(backend, cls, age * AGE_STEP_NS, bad / 255)
            for backend, cls, age, bad in _BACKEND_REPORT.iter_unpack(data[marks_at:])
        ],
    )


@dataclass(slots=True)
class PeerReport:
    """What a peer last told of a customer, when, and how much of it the peer used lately."""

    incarnation: int
    entry: UsageEntry
    received_at: int
    recent_use: DecayingSum

    def estimated_unreported(self, now: int, most: int) -> float:
        """What it will have used since, at the rate of late, for at most so long."""
        return self.recent_use.read(now) * USE_DECAY_PER_S * min(most, now - self.received_at) / SECOND


class PeerReports:
    """What the peers of a customer told of it: cumulative counts turned into use since the last message."""

    def __init__(self) -> None:
        self.by_peer: dict[int, PeerReport] = {}

    def record(self, peer: int, incarnation: int, entry: UsageEntry, now: int) -> float:
        """Takes in an entry; the use that it adds. Units spent long ago have filled up again: the debt bounds
        what a first count, or one after a gap, adds."""
        told = self.by_peer.get(peer)
        used = entry.local_used_units
        if told is not None and told.incarnation == incarnation:
            more = (
                _wrapped_difference(
                    round(entry.total_units * STEPS_PER_UNIT),
                    round(told.entry.total_units * STEPS_PER_UNIT),
                    TOTAL_WRAP,
                )
                / STEPS_PER_UNIT
            )
            used = min(entry.local_used_units, more)
        lately = told.recent_use if told is not None else DecayingSum(USE_HALF_LIFE_NS, now)
        lately.add(max(0.0, used), now)
        self.by_peer[peer] = PeerReport(incarnation, entry, now, lately)
        return used

    def received_since(self, at: int) -> list[PeerReport]:
        """What was told since then."""
        return [told for told in self.by_peer.values() if told.received_at > at]


class BackendReports:
    """What is known of each backend and class: the newest sighting wins, own or told, and is passed on.

    Each passes a sighting on a few times only: whoever hears it does so too, and the more gateways there are,
    the fewer times past the logarithm of their number reach anybody who has not heard.
    """

    def __init__(self, lasts: int, gateways: int) -> None:
        self.forward_for_ns, self.forward_times = lasts, gateways.bit_length() + EXTRA_FORWARDS
        self.known: dict[tuple[int, int], tuple[float, int]] = {}  # badness and when seen
        self.pending_forwards: dict[
            tuple[int, int], tuple[int, int]
        ] = {}  # passed on until, and how many times more

    def record(self, backend: int, cls: int, bad: float, at: int, spread: bool) -> None:
        """A sighting; older ones than the known one change nothing."""
        known, known_at = self.known.get((backend, cls), (-1.0, 0))
        if at - known_at < 2 * AGE_STEP_NS and abs(bad - known) < SAME_SCORE_WITHIN:
            return  # the same, told by another: else what all tell each other would never grow old
        if at >= known_at:
            self.known[backend, cls] = (bad, at)
            if spread:
                self.pending_forwards[backend, cls] = (at + self.forward_for_ns, self.forward_times)

    def retain(self, kept: Container[int]) -> None:
        """Only of these backends is anything still of use."""
        self.known = {key: seen for key, seen in self.known.items() if key[0] in kept}
        self.pending_forwards = {key: until for key, until in self.pending_forwards.items() if key[0] in kept}

    def sample(self, rng: random.Random, now: int) -> list[BackendReport]:
        """Some of the news, for one message."""
        self.pending_forwards = {
            key: left for key, left in self.pending_forwards.items() if left[0] > now and left[1] > 0
        }
        keys = rng.sample(list(self.pending_forwards), min(len(self.pending_forwards), MAX_BACKEND_REPORTS))
        for key in keys:
            until, times = self.pending_forwards[key]
            self.pending_forwards[key] = (until, times - 1)
        return [BackendReport(*key, now - self.known[key][1], self.known[key][0]) for key in keys]


class Inbox:
    """Takes each peer's messages in order: garbled, repeated and outdated ones are dropped whole."""

    def __init__(self) -> None:
        self.peers: dict[int, tuple[int, int, int]] = {}  # peer: incarnation, last sequence, heard at
        self.malformed = 0  # messages that could not be read

    def accept(self, peer: int, data: bytes, now: int) -> Message | None:
        """The message in these bytes, if it is to be taken in."""
        message = unpack(data)
        if message is None:
            self.malformed += 1
            return None
        if peer in self.peers:
            incarnation, sequence, _ = self.peers[peer]
            newer = _wrapped_difference(message.incarnation, incarnation)
            if newer < 0 or newer == 0 and _wrapped_difference(message.sequence, sequence) <= 0:
                return None
        self.peers[peer] = (message.incarnation, message.sequence, now)
        return message

    def incarnation_of(self, peer: int) -> int:
        """The peer's incarnation as last heard, 0 if it was not."""
        return self.peers[peer][0] if peer in self.peers else 0


class Outbox:
    """Collects what goes to each peer at the end of a turn, in as few messages as hold it."""

    def __init__(self) -> None:
        self.incarnation = self.sequence = 0
        self.open_messages: dict[int, Message] = {}
        self.full_messages: list[tuple[int, Message]] = []

    def message_for(self, peer: int) -> Message:
        """The message to a peer that has room for one more of anything."""
        if peer in self.open_messages and self.open_messages[peer].is_full():
            self.full_messages.append((peer, self.open_messages.pop(peer)))
        if peer not in self.open_messages:
            self.open_messages[peer] = Message(self.incarnation, 0, 0)
        return self.open_messages[peer]

    def drain(self) -> list[tuple[int, Message]]:
        """All messages with their peers, numbered in order."""
        out = self.full_messages + list(self.open_messages.items())
        self.full_messages, self.open_messages = [], {}
        for _, message in out:
            self.sequence = (self.sequence + 1) % 2**32
            message.sequence = self.sequence
        return out
