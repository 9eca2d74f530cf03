"""Packs and unpacks the messages between gateways, and keeps what peers report. Makes no quota decisions.

Only backend reports are gossiped: each receiver forwards them to its own peers. Usage entries, unit requests
and unit responses go point to point, from their sender to the receiver, and are never forwarded.

A message is a header followed by records of four kinds, little-endian:

    header         u8 version, u32 incarnation of the sender, u32 sequence number, u8 latency as the sender
                   sees it, u8 usage entries, u8 unit requests, u8 unit responses, u8 backend reports; if
                   there are usage entries: u32 incarnation of the receiver as last received (0: none)
    usage entry    u64 of 33 bits customer, 1 bit that hard limit fields follow, 1 bit that the number of
                   attempts in flight follows, 5 spare bits and 24 bits total units; u16 local used units;
                   with the first bit u16 hard limit level and u16 transferred units; with the second bit u8
                   attempts in flight
    unit request   u40 of 33 bits customer and 7 bits plan; u32 request, u16 units, i16 owed, u16 first,
                   u16 spread
    unit response  u40 of 33 bits customer, 1 bit low balance, 1 bit over quota, 1 bit granted and 4 spare
                   bits; u32 request, u16 units if granted, otherwise wait in ms
    backend report u32 backend, u8 class, u8 age in 50 ms, u8 failure score in 255ths

Amounts are in sixteenths of a unit. `total units` counts the units that the sender has used since its start
and wraps. `local used units` is what the sender has recently taken out of its local bucket. `latency` is in
hundredths of the latency target. `transferred units` are hard limit units that the sender has given up for
the receiver. An entry without hard limit fields means that the sender's share of the hard limit is far from
used up. `owed` is what the requester used without a grant; a negative value gives granted units back.
Messages are charged by the byte, so entries omit fields that carry no information.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Container
from dataclasses import dataclass, field
from typing import NamedTuple

from pepperrun.core.clock import SECOND, DecayingSum
from pepperrun.core.interface import MAX_PLANS

USE_HALF_LIFE_NS = SECOND
USE_DECAY_PER_S = 0.69  # ln 2: turns a sum with a half-life of one second into a rate per second
VERSION = 4
MAX_BYTES = 256
STEPS_PER_UNIT = 16
_HEADER = struct.Struct("<BIIBBBBB")
_RECEIVER = struct.Struct("<I")
_ENTRY = struct.Struct("<QH")
_HARD_LIMIT = struct.Struct("<HH")
_CUSTOMER_COUNT = 2**33
_HAS_HARD_LIMIT, _HAS_IN_FLIGHT, _TOTAL_SHIFT = 2**33, 2**34, 40
TOTAL_WRAP = 2**24  # steps after which a total wraps
_UNIT_REQUEST = struct.Struct("<5sIHhHH")
_UNIT_RESPONSE = struct.Struct("<5sIH")
_LOW_BALANCE, _OVER_QUOTA, _GRANTED, _PLAN_SHIFT = 2**33, 2**34, 2**35, 33
_BACKEND_REPORT = struct.Struct("<IBBB")
MAX_BACKEND_REPORTS = 2
EXTRA_FORWARDS = 2  # forwards of a backend report beyond the binary logarithm of the number of gateways
SAME_SCORE_WITHIN = 1 / 64  # failure scores that differ by less count as equal
AGE_STEP_NS = 50_000_000
# Incarnations are start times in these ticks. They wrap after 13 years, and a start takes longer than a tick.
INCARNATION_TICK_NS = 100_000_000
MAX_SEQUENCE_STEP = 1024  # messages between two that arrive; a larger step is a jump
JUMP_REVERT_NS = SECOND
MAX_ENTRY_BYTES = _ENTRY.size + _HARD_LIMIT.size + 1
MAX_ENTRIES = (
    MAX_BYTES - _HEADER.size - _RECEIVER.size - MAX_BACKEND_REPORTS * _BACKEND_REPORT.size
) // MAX_ENTRY_BYTES


NOT_LOW = float("inf")  # hard limit level of an entry without hard limit fields


@dataclass(slots=True)
class UsageEntry:
    """One gateway's use of one customer's quota.

    `hard_limit_level`: units left in its hard limit bucket, `NOT_LOW` if that bucket is far from empty.
    """

    customer: int
    total_units: float
    local_used_units: float
    hard_limit_level: float
    transferred_units: float
    attempts_in_flight: int

    def size(self) -> int:
        """Return the number of bytes that the entry takes in a message."""
        return (
            _ENTRY.size + _HARD_LIMIT.size * (self.hard_limit_level < NOT_LOW) + (self.attempts_in_flight > 0)
        )


@dataclass(slots=True)
class UnitRequest:
    """A request for units to the owner of a customer's quota; with 0 units it only reports what is owed."""

    customer: int
    request: int
    units: float
    owed: float
    plan: int
    first: int
    spread: int


@dataclass(slots=True)
class UnitResponse:
    """An owner's response: the requested units, or 0 units and how long to wait before the next request."""

    customer: int
    request: int
    units: float
    wait_ms: int
    low_balance: bool
    over_quota: bool


@dataclass(slots=True)
class BackendReport:
    """How often a backend fails requests of a class, and the age of the last attempt that shows it."""

    backend: int
    cls: int
    age_ns: int
    failure_score: float


@dataclass(slots=True)
class Message:
    """One datagram from a gateway to a peer."""

    incarnation: int
    sequence: int
    receiver_incarnation: int
    latency: float = 0.0
    entries: list[UsageEntry] = field(default_factory=list)
    unit_requests: list[UnitRequest] = field(default_factory=list)
    unit_responses: list[UnitResponse] = field(default_factory=list)
    backend_reports: list[BackendReport] = field(default_factory=list)

    def is_full(self) -> bool:
        """Return whether one more record of any kind might not fit into `MAX_BYTES`."""
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
    """Return the amount that a peer receives for `amount`: rounded down to a step, clamped to 16 bits."""
    return min(65535, max(0, int(amount * STEPS_PER_UNIT))) / STEPS_PER_UNIT


def _wrapped_difference(now: int, before: int, wrap: int = 2**32) -> int:
    """Return how far a counter that wraps has advanced; below 0 if `now` is the older value."""
    return (now - before + wrap // 2) % wrap - wrap // 2


def _to_steps(amount: float) -> int:
    return int(quantize_units(amount) * STEPS_PER_UNIT)


def quantize_owed(amount: float) -> float:
    """Return the part of an amount owed (negative: to be given back) that fits into one unit request."""
    return max(-(2**15), min(2**15 - 1, round(amount * STEPS_PER_UNIT))) / STEPS_PER_UNIT


def pack(message: Message) -> bytes:
    """Return the message as bytes; entries beyond `MAX_ENTRIES` are left out."""
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
        has_hard_limit, in_flight = entry.hard_limit_level < NOT_LOW, min(255, entry.attempts_in_flight)
        word = (
            entry.customer % _CUSTOMER_COUNT
            + _HAS_HARD_LIMIT * has_hard_limit
            + _HAS_IN_FLIGHT * (in_flight > 0)
        )
        total = round(entry.total_units * STEPS_PER_UNIT) % TOTAL_WRAP
        parts.append(_ENTRY.pack(word + (total << _TOTAL_SHIFT), _to_steps(entry.local_used_units)))
        if has_hard_limit:
            parts.append(
                _HARD_LIMIT.pack(_to_steps(entry.hard_limit_level), _to_steps(entry.transferred_units))
            )
        if in_flight > 0:
            parts.append(bytes((in_flight,)))
    for unit_request in message.unit_requests:
        word = unit_request.customer % _CUSTOMER_COUNT + (unit_request.plan % MAX_PLANS << _PLAN_SHIFT)
        units, owed = _to_steps(unit_request.units), int(quantize_owed(unit_request.owed) * STEPS_PER_UNIT)
        parts.append(
            _UNIT_REQUEST.pack(
                word.to_bytes(5, "little"),
                unit_request.request,
                units,
                owed,
                unit_request.first,
                unit_request.spread,
            )
        )
    for unit_response in message.unit_responses:
        granted = unit_response.units > 0
        value = _to_steps(unit_response.units) if granted else min(65535, max(0, unit_response.wait_ms))
        word = (
            unit_response.customer % _CUSTOMER_COUNT
            + _LOW_BALANCE * unit_response.low_balance
            + _OVER_QUOTA * unit_response.over_quota
            + _GRANTED * granted
        )
        parts.append(_UNIT_RESPONSE.pack(word.to_bytes(5, "little"), unit_response.request, value))
    for backend_report in message.backend_reports:
        age = min(255, max(0, backend_report.age_ns // AGE_STEP_NS))
        parts.append(
            _BACKEND_REPORT.pack(
                backend_report.backend,
                backend_report.cls,
                age,
                int(min(1.0, max(0.0, backend_report.failure_score)) * 255),
            )
        )
    return b"".join(parts)


def _unpack_entries(data: bytes, offset: int, count: int) -> tuple[list[UsageEntry], int]:
    """Return the entries and the offset of their end, which is past the end of `data` if it is too short."""
    entries = []
    for _ in range(count):
        if offset + _ENTRY.size > len(data):
            return [], len(data) + 1
        word, local_used = _ENTRY.unpack_from(data, offset)
        offset += _ENTRY.size
        hard_limit_level, transferred, in_flight = NOT_LOW, 0.0, 0
        if word & _HAS_HARD_LIMIT:
            if offset + _HARD_LIMIT.size > len(data):
                return [], len(data) + 1
            level, given_up = _HARD_LIMIT.unpack_from(data, offset)
            hard_limit_level, transferred = level / STEPS_PER_UNIT, given_up / STEPS_PER_UNIT
            offset += _HARD_LIMIT.size
        if word & _HAS_IN_FLIGHT:
            if offset >= len(data):
                return [], len(data) + 1
            in_flight = data[offset]
            offset += 1
        total = (word >> _TOTAL_SHIFT) / STEPS_PER_UNIT
        entries.append(
            UsageEntry(
                word % _CUSTOMER_COUNT,
                total,
                local_used / STEPS_PER_UNIT,
                hard_limit_level,
                transferred,
                in_flight,
            )
        )
    return entries, offset


def _unpack_unit_request(
    packed: bytes, request: int, units: int, owed: int, first: int, spread: int
) -> UnitRequest:
    bits = int.from_bytes(packed, "little")
    plan = bits >> _PLAN_SHIFT
    return UnitRequest(
        bits % _CUSTOMER_COUNT, request, units / STEPS_PER_UNIT, owed / STEPS_PER_UNIT, plan, first, spread
    )


def _unpack_unit_response(packed: bytes, request: int, value: int) -> UnitResponse:
    bits = int.from_bytes(packed, "little")
    low_balance, over_quota, granted = (
        bool(bits & _LOW_BALANCE),
        bool(bits & _OVER_QUOTA),
        bool(bits & _GRANTED),
    )
    return UnitResponse(
        bits % _CUSTOMER_COUNT,
        request,
        value / STEPS_PER_UNIT * granted,
        0 if granted else value,
        low_balance,
        over_quota,
    )


def unpack(data: bytes) -> Message | None:
    """Return the message in `data`, or None if it is malformed, too long or of another version."""
    if not _HEADER.size <= len(data) <= MAX_BYTES or data[0] != VERSION:
        return None
    _, incarnation, sequence, latency, entry_count, request_count, response_count, report_count = (
        _HEADER.unpack_from(data)
    )
    offset, receiver = _HEADER.size, 0
    if entry_count:
        if len(data) < offset + _RECEIVER.size:
            return None
        (receiver,) = _RECEIVER.unpack_from(data, offset)
        offset += _RECEIVER.size
    entries, requests_at = _unpack_entries(data, offset, entry_count)
    responses_at = requests_at + request_count * _UNIT_REQUEST.size
    reports_at = responses_at + response_count * _UNIT_RESPONSE.size
    if len(data) != reports_at + report_count * _BACKEND_REPORT.size:
        return None
    return Message(
        incarnation,
        sequence,
        receiver,
        latency / 100,
        entries,
        [
            _unpack_unit_request(*fields)
            for fields in _UNIT_REQUEST.iter_unpack(data[requests_at:responses_at])
        ],
        [
            _unpack_unit_response(*fields)
            for fields in _UNIT_RESPONSE.iter_unpack(data[responses_at:reports_at])
        ],
        [
            BackendReport(backend, cls, age * AGE_STEP_NS, failure_score / 255)
            for backend, cls, age, failure_score in _BACKEND_REPORT.iter_unpack(data[reports_at:])
        ],
    )


@dataclass(slots=True)
class PeerReport:
    """A peer's last usage entry for a customer, when it arrived, and the peer's recent use."""

    incarnation: int
    entry: UsageEntry
    received_at: int
    recent_use: DecayingSum

    def estimated_unreported(self, now: int, max_ns: int) -> float:
        """Return the units that the peer has probably used since its report.

        Extrapolates its recent rate of use over the report's age, at most `max_ns`.
        """
        return self.recent_use.read(now) * USE_DECAY_PER_S * min(max_ns, now - self.received_at) / SECOND


class PeerReports:
    """The peers' reports on one customer. Turns their cumulative counts into use since the last report."""

    def __init__(self) -> None:
        self.by_peer: dict[int, PeerReport] = {}

    def record(self, peer: int, incarnation: int, entry: UsageEntry, now: int) -> float:
        """Store an entry and return the units of use that it adds.

        Units used long ago have been refilled since. The peer's local used units therefore bound what its
        first count, or a count after a gap, adds.
        """
        report = self.by_peer.get(peer)
        used = entry.local_used_units
        if report is not None and report.incarnation == incarnation:
            increase = (
                _wrapped_difference(
                    round(entry.total_units * STEPS_PER_UNIT),
                    round(report.entry.total_units * STEPS_PER_UNIT),
                    TOTAL_WRAP,
                )
                / STEPS_PER_UNIT
            )
            used = min(entry.local_used_units, increase)
        recent_use = report.recent_use if report is not None else DecayingSum(USE_HALF_LIFE_NS, now)
        recent_use.add(max(0.0, used), now)
        self.by_peer[peer] = PeerReport(incarnation, entry, now, recent_use)
        return used

    def received_since(self, at: int) -> list[PeerReport]:
        """Return the reports received after that time."""
        return [report for report in self.by_peer.values() if report.received_at > at]


class BackendReports:
    """The failure score of each backend and class, from this gateway's attempts or a peer's; the newest wins.

    A new score is forwarded to peers a few times only, as every receiver forwards it too. Once a score has
    been forwarded as often as the logarithm of the number of gateways, hardly any gateway is left without it,
    and the more gateways there are, the fewer extra forwards reach them.
    """

    def __init__(self, forward_for_ns: int, gateways: int) -> None:
        self.forward_for_ns, self.forward_times = forward_for_ns, gateways.bit_length() + EXTRA_FORWARDS
        self.known: dict[tuple[int, int], tuple[float, int]] = {}  # failure score and when seen
        # By backend and class: the time until which the score is forwarded, and the forwards left.
        self.pending_forwards: dict[tuple[int, int], tuple[int, int]] = {}

    def record(self, backend: int, cls: int, failure_score: float, seen_at: int, forward: bool) -> None:
        """Store a failure score unless a newer one is known; with `forward`, also queue it for the peers."""
        known, known_at = self.known.get((backend, cls), (-1.0, 0))
        if seen_at - known_at < 2 * AGE_STEP_NS and abs(failure_score - known) < SAME_SCORE_WITHIN:
            return  # the same score from another peer: storing it would renew the age on each forward
        if seen_at >= known_at:
            self.known[backend, cls] = (failure_score, seen_at)
            if forward:
                self.pending_forwards[backend, cls] = (seen_at + self.forward_for_ns, self.forward_times)

    def retain(self, backends: Container[int]) -> None:
        """Drop the scores of all backends other than these."""
        self.known = {key: seen for key, seen in self.known.items() if key[0] in backends}
        self.pending_forwards = {
            key: until for key, until in self.pending_forwards.items() if key[0] in backends
        }

    def sample(self, rng: random.Random, now: int) -> list[BackendReport]:
        """Return a random choice of scores still to be forwarded, as many as fit into one message."""
        self.pending_forwards = {
            key: left for key, left in self.pending_forwards.items() if left[0] > now and left[1] > 0
        }
        keys = rng.sample(list(self.pending_forwards), min(len(self.pending_forwards), MAX_BACKEND_REPORTS))
        for key in keys:
            until, times = self.pending_forwards[key]
            self.pending_forwards[key] = (until, times - 1)
        return [BackendReport(*key, now - self.known[key][1], self.known[key][0]) for key in keys]


class Numbers(NamedTuple):
    """What orders a peer's messages: its incarnation, and the sequence number within that."""

    incarnation: int
    sequence: int

    def precede(self, message: Message) -> bool:
        """Whether the message is newer."""
        newer = _wrapped_difference(message.incarnation, self.incarnation)
        return newer > 0 or newer == 0 and _wrapped_difference(message.sequence, self.sequence) > 0

    def is_far_behind(self, message: Message) -> bool:
        """Whether a newer message is so far ahead that it is garbled or its sender has restarted."""
        step = _wrapped_difference(message.sequence, self.sequence)
        return message.incarnation != self.incarnation or step > MAX_SEQUENCE_STEP


class Inbox:
    """Accepts each peer's messages in order; malformed, repeated and outdated messages are dropped.

    A jump of the numbers is accepted at once. If no second message confirms it, messages that continue the
    numbers before the jump are accepted again after JUMP_REVERT_NS. Until then they may be late ones of a
    process that has restarted.
    """

    def __init__(self) -> None:
        self.peers: dict[int, tuple[int, int, int]] = {}  # peer: incarnation, last sequence, received at
        # The numbers before a peer's unconfirmed jump; None before its first message.
        self.before_jump: dict[int, Numbers | None] = {}
        self.malformed = 0  # messages that could not be unpacked

    def accept(self, peer: int, data: bytes, now: int) -> Message | None:
        """Return the message in `data`, or None if it is malformed or not newer than the last one."""
        message = unpack(data)
        if message is None:
            self.malformed += 1
            return None
        if peer not in self.peers:
            self.before_jump[peer] = None
        else:
            *last, received_at = self.peers[peer]
            if not self._accepts(peer, message, Numbers(*last), now - received_at):
                return None
        self.peers[peer] = (message.incarnation, message.sequence, now)
        return message

    def _accepts(self, peer: int, message: Message, last: Numbers, silent_ns: int) -> bool:
        """Whether the message is newer than the last one, or shows that the last one was garbled."""
        if not last.precede(message):
            if peer not in self.before_jump or silent_ns < JUMP_REVERT_NS:
                return False
            before = self.before_jump[peer]
            if before is None:
                return True
            if not before.precede(message):
                return False
            del self.before_jump[peer]
            return True
        if message.incarnation == last.incarnation:
            self.before_jump.pop(peer, None)
        if peer not in self.before_jump and last.is_far_behind(message):
            self.before_jump[peer] = last
        return True

    def incarnation_of(self, peer: int) -> int:
        """Return the peer's incarnation as last received, 0 if none was received."""
        return self.peers[peer][0] if peer in self.peers else 0


class Outbox:
    """Collects what goes to each peer at the end of a call of `handle`, in as few messages as possible."""

    def __init__(self) -> None:
        self.incarnation = self.sequence = 0
        self.open_messages: dict[int, Message] = {}
        self.full_messages: list[tuple[int, Message]] = []

    def message_for(self, peer: int) -> Message:
        """Return the peer's current message, a new one if the last one is full."""
        if peer in self.open_messages and self.open_messages[peer].is_full():
            self.full_messages.append((peer, self.open_messages.pop(peer)))
        if peer not in self.open_messages:
            self.open_messages[peer] = Message(self.incarnation, 0, 0)
        return self.open_messages[peer]

    def drain(self) -> list[tuple[int, Message]]:
        """Return all collected messages with their peers, number them in order and start anew."""
        numbered = self.full_messages + list(self.open_messages.items())
        self.full_messages, self.open_messages = [], {}
        for _, message in numbered:
            self.sequence = (self.sequence + 1) % 2**32
            message.sequence = self.sequence
        return numbered
