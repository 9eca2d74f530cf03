"""Speaks the simulator's wire on standard input and output, with a `Gateway` for each instance.

Only translation. Plain terms are in `interface.py`, decisions in `gateway.py`.
"""

from __future__ import annotations

import struct
import sys
from typing import BinaryIO

from pepperrun.config import read_settings
from pepperrun.core import interface as io
from pepperrun.core.gateway import Gateway

EVENT_SIZE = 48
ACTION_SIZE = 32
_BATCH = struct.Struct("<IIQI")
_REPLY = struct.Struct("<III")
_ENTRY = struct.Struct("<HHfBQIH")
_LAUNCH = struct.Struct("<BIQII")
_MEMBERS = struct.Struct("<BIBHI")
_KNOCK = struct.Struct("<BIIfBIQQHff")
_ACCEPTED = struct.Struct("<BIIHIQ")
_OUTCOME = struct.Struct("<BIIHBHQHIBB4f")
_LAPSED = struct.Struct("<BII")
_REMINDER = struct.Struct("<BIQ")
_PONG = struct.Struct("<BIIBQB4f")
_DATAGRAM = struct.Struct("<BIHII")
_ROSTER = struct.Struct("<BHII")
LAUNCH, MEMBERS, KNOCK, ACCEPTED, OUTCOME, LAPSED, REMINDER, PONG, DATAGRAM, DOWN, COUNTED, ROSTER = range(
    10, 130, 10
)
_TRANSMIT = struct.Struct("<BIIQI")
_REFUSE = struct.Struct("<BIIQ")
_ID = struct.Struct("<BII")
_RECALL = struct.Struct("<BIIH")
_ARM = struct.Struct("<BIQQ")
_NOTIFY = struct.Struct("<BIHII")
_TEXT = struct.Struct("<BIII")
_TRACK = struct.Struct("<BIB")
_RELOAD = struct.Struct("<BI")
_OUTCOMES = {
    0: io.Outcome.OK,
    13: io.Outcome.ERROR,
    8: io.Outcome.FULL,
    4: io.Outcome.TIMEOUT,
    14: io.Outcome.CONNECT_FAILED,
    10: io.Outcome.RESET,
    1: io.Outcome.CANCELLED,
    9: io.Outcome.MOOT,
}
_STATES = {0: io.BackendState.DRAINING, 1: io.BackendState.GONE, 2: io.BackendState.READY}
_LISTS = {0: io.ListKind.DELTA, 1: io.ListKind.FULL, 2: io.ListKind.CACHED, 3: io.ListKind.FAILED}


class FrameError(Exception):
    """A frame that can't be read."""


class Host:
    """The instances of this process."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.lists: dict[int, tuple[io.Backend, ...]] = {}

    def answer(self, frame: bytes) -> bytes:
        """The reply to one frame."""
        if len(frame) < _BATCH.size:
            raise FrameError("frame shorter than its header")
        index, length, now, count = _BATCH.unpack_from(frame)
        tail_at = _BATCH.size + EVENT_SIZE * count
        if length != len(frame) or tail_at > length:
            raise FrameError(f"frame {index}: {count} records do not fit its length {length}")
        tail = frame[tail_at:]
        inbox: dict[int, list[io.Event]] = {}
        faults: dict[int, str] = {}
        for number in range(count):
            self._read(frame, _BATCH.size + EVENT_SIZE * number, tail, inbox, faults)
        reply = _Reply(index)
        for instance, events in inbox.items():
            if instance in self.gateways and instance not in faults:
                try:
                    for action in self.gateways[instance].handle(now, events):
                        reply.add(instance, action)
                except Exception as error:  # whatever goes wrong in a decision ends the day with its text
                    faults[instance] = f"{type(error).__name__}: {error}"
        for instance, text in faults.items():
            reply.text(100, instance, text)
        return reply.frame()

    def _read(
        self, frame: bytes, at: int, tail: bytes, inbox: dict[int, list[io.Event]], faults: dict[int, str]
    ) -> None:
        code = frame[at]
        if code == ROSTER:
            _, number, start, size = _ROSTER.unpack_from(frame, at)
            body = _cut(tail, start, size * _ENTRY.size)
            self.lists[number] = tuple(_backend(*fields) for fields in _ENTRY.iter_unpack(body))
            return
        instance = int.from_bytes(frame[at + 1 : at + 5], "little")
        if code == LAUNCH:
            _, _, seed, start, size = _LAUNCH.unpack_from(frame, at)
            inbox[instance] = []
            try:
                settings = read_settings(_cut(tail, start, size).decode("utf-8", "replace"))
                self.gateways[instance] = Gateway(settings, seed)
            except ValueError as error:
                faults[instance] = f"ValueError: {error}"
        elif code == DOWN:
            self.gateways.pop(instance, None)
            inbox.pop(instance, None)
        elif code == COUNTED:
            pass  # the gateways count with each other and never call the shared counts
        else:
            inbox.setdefault(instance, []).append(self._event(code, frame, at, tail))

    def _event(self, code: int, frame: bytes, at: int, tail: bytes) -> io.Event:
        if code == KNOCK:
            _, _, request, first, _, plan, left, customer, cls, spread, units = _KNOCK.unpack_from(frame, at)
            return io.Request(request, customer, plan, cls, left, units, max(1, round(spread)), round(first))
        if code == OUTCOME:
            _, _, request, attempt, status, _, spent, cost, backend, complete, n, *report = (
                _OUTCOME.unpack_from(frame, at)
            )
            outcome = _OUTCOMES.get(status, io.Outcome.ERROR)
            load = tuple(report[: min(n, 4)])
            return io.AttemptEnded(
                request, attempt, backend, outcome, spent, bool(complete), float(cost), load
            )
        if code == MEMBERS:
            _, _, kind, number, _ = _MEMBERS.unpack_from(frame, at)
            what = _LISTS.get(kind, io.ListKind.FAILED)
            entries = () if what is io.ListKind.FAILED else self.lists.get(number, ())
            return io.BackendList(what, entries)
        if code == REMINDER:
            return io.TimerFired(_REMINDER.unpack_from(frame, at)[2])
        if code == DATAGRAM:
            _, _, peer, start, size = _DATAGRAM.unpack_from(frame, at)
            return io.PeerMessage(peer, _cut(tail, start, size))
        if code == LAPSED:
            return io.ClientLeft(_LAPSED.unpack_from(frame, at)[2])
        if code == ACCEPTED:
            _, _, request, attempt, backend, _ = _ACCEPTED.unpack_from(frame, at)
            return io.StreamStarted(request, attempt, backend)
        if code == PONG:
            _, _, backend, status, spent, n, *report = _PONG.unpack_from(frame, at)
            outcome = _OUTCOMES.get(status, io.Outcome.ERROR)
            return io.ProbeEnded(backend, outcome, spent, tuple(report[: min(n, 4)]))
        raise FrameError(f"unknown event code {code}")


def _cut(tail: bytes, start: int, size: int) -> bytes:
    if start + size > len(tail):
        raise FrameError("a record points past the end of its frame")
    return tail[start : start + size]


def _backend(
    cell: int, _kind: int, _rating: float, state: int, born: int, backend: int, zone: int
) -> io.Backend:
    return io.Backend(backend, zone, cell, _STATES.get(state, io.BackendState.GONE), born)


class _Reply:
    """Collects actions as records and a tail."""

    def __init__(self, index: int) -> None:
        self.index = index
        self.records: list[bytes] = []
        self.tail = bytearray()

    def record(self, layout: struct.Struct, *fields: int) -> None:
        self.records.append(layout.pack(*fields).ljust(ACTION_SIZE, b"\0"))

    def text(self, code: int, instance: int, text: str) -> None:
        data = text.encode("utf-8", "replace")
        self.record(_TEXT, code, instance, len(self.tail), len(data))
        self.tail += data

    def add(self, instance: int, action: io.Action) -> None:
        match action:
            case io.Send(request, backend, timeout):
                self.record(_TRANSMIT, 10, instance, request, max(1, timeout), backend)
            case io.Refuse(request, wait):
                self.record(_REFUSE, 20, instance, request, max(0, wait))
            case io.Fail(request):
                self.record(_ID, 30, instance, request)
            case io.Cancel(request, attempt):
                self.record(_RECALL, 40, instance, request, attempt)
            case io.SetTimer(delay, token):
                self.record(_ARM, 50, instance, max(0, delay), token)
            case io.Probe(backend):
                self.record(_ID, 60, instance, backend)
            case io.CloseIdle(backend):
                self.record(_ID, 70, instance, backend)
            case io.SendPeerMessage(peer, data):
                self.record(_NOTIFY, 80, instance, peer, len(self.tail), len(data))
                self.tail += data
            case io.Log(text):
                self.text(90, instance, text)
            case io.Watch(on):
                self.record(_TRACK, 110, instance, int(on))
            case io.FetchList():
                self.record(_RELOAD, 120, instance)

    def frame(self) -> bytes:
        body = b"".join(self.records) + bytes(self.tail)
        return _REPLY.pack(self.index, _REPLY.size + len(body), len(self.records)) + body


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise FrameError("input ends within a frame")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answers frames until the input ends; the exit code."""
    host = Host()
    try:
        while start := source.read(8):
            if len(start) < 8:
                raise FrameError("input ends within a frame")
            length = int.from_bytes(start[4:8], "little")
            if length < _BATCH.size:
                raise FrameError(f"a frame's length is {length}, below its header's")
            sink.write(host.answer(start + _read_exactly(source, length - 8)))
            sink.flush()
    except FrameError as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
