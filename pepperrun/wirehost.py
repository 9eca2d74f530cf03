"""Serves the simulator's binary protocol on standard input and output, with a `Gateway` for each instance.

Only translates: the data types are in `core.interface`, the decisions in `core.gateway`.
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
_FRAME_HEAD = struct.Struct("<IIQI")
_REPLY_HEAD = struct.Struct("<III")
_LIST_ENTRY = struct.Struct("<HHfBQIH")
_START = struct.Struct("<BIQII")
_BACKEND_LIST = struct.Struct("<BIBHI")
_REQUEST = struct.Struct("<BIIfBIQQHff")
_STREAM_STARTED = struct.Struct("<BIIHIQ")
_ATTEMPT_ENDED = struct.Struct("<BIIHBHQHIBB4f")
_CLIENT_LEFT = struct.Struct("<BII")
_TIMER_FIRED = struct.Struct("<BIQ")
_PROBE_ENDED = struct.Struct("<BIIBQB4f")
_PEER_MESSAGE = struct.Struct("<BIHII")
_LIST_CONTENT = struct.Struct("<BHII")
(
    START,
    BACKEND_LIST,
    REQUEST,
    STREAM_STARTED,
    ATTEMPT_ENDED,
    CLIENT_LEFT,
    TIMER_FIRED,
    PROBE_ENDED,
    PEER_MESSAGE,
    STOP,
    SHARED_COUNT,
    LIST_CONTENT,
) = range(10, 130, 10)
_SEND = struct.Struct("<BIIQI")
_REFUSE = struct.Struct("<BIIQ")
_ONE_ID = struct.Struct("<BII")
_CANCEL = struct.Struct("<BIIH")
_SET_TIMER = struct.Struct("<BIQQ")
_SEND_PEER_MESSAGE = struct.Struct("<BIHII")
_TEXT = struct.Struct("<BIII")
_WATCH = struct.Struct("<BIB")
_FETCH_LIST = struct.Struct("<BI")
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
    """A frame is malformed."""


class Host:
    """The gateways of this process, by instance number, and the backend lists that they read."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.lists: dict[int, tuple[io.Backend, ...]] = {}

    def answer(self, frame: bytes) -> bytes:
        """Returns the reply to a frame; raises `FrameError` if it is malformed."""
        if len(frame) < _FRAME_HEAD.size:
            raise FrameError("frame shorter than its header")
        index, length, now, count = _FRAME_HEAD.unpack_from(frame)
        tail_at = _FRAME_HEAD.size + EVENT_SIZE * count
        if length != len(frame) or tail_at > length:
            raise FrameError(f"frame {index}: {count} records do not fit into its length in bytes, {length}")
        tail = frame[tail_at:]
        events_by_instance: dict[int, list[io.Event]] = {}
        faults: dict[int, str] = {}
        for number in range(count):
            self._read(frame, _FRAME_HEAD.size + EVENT_SIZE * number, tail, events_by_instance, faults)
        reply = _Reply(index)
        for instance, events in events_by_instance.items():
            if instance in self.gateways and instance not in faults:
                try:
                    for action in self.gateways[instance].handle(now, events):
                        reply.add(instance, action)
                except Exception as error:  # reported to the simulator, which ends the run with this text
                    faults[instance] = f"{type(error).__name__}: {error}"
        for instance, text in faults.items():
            reply.text(100, instance, text)
        return reply.frame()

    def _read(
        self,
        frame: bytes,
        at: int,
        tail: bytes,
        events_by_instance: dict[int, list[io.Event]],
        faults: dict[int, str],
    ) -> None:
        code = frame[at]
        if code == LIST_CONTENT:
            _, number, start, size = _LIST_CONTENT.unpack_from(frame, at)
            body = _tail_part(tail, start, size * _LIST_ENTRY.size)
            self.lists[number] = tuple(_backend(*fields) for fields in _LIST_ENTRY.iter_unpack(body))
            return
        instance = int.from_bytes(frame[at + 1 : at + 5], "little")
        if code == START:
            _, _, seed, start, size = _START.unpack_from(frame, at)
            events_by_instance[instance] = []
            try:
                settings = read_settings(_tail_part(tail, start, size).decode("utf-8", "replace"))
                self.gateways[instance] = Gateway(settings, seed)
            except ValueError as error:
                faults[instance] = f"ValueError: {error}"
        elif code == STOP:
            self.gateways.pop(instance, None)
            events_by_instance.pop(instance, None)
        elif code == SHARED_COUNT:
            pass  # gateways count units among themselves and never request shared counts
        else:
            events_by_instance.setdefault(instance, []).append(self._event(code, frame, at, tail))

    def _event(self, code: int, frame: bytes, at: int, tail: bytes) -> io.Event:
        if code == REQUEST:
            _, _, request, first, _, plan, left, customer, cls, spread, units = _REQUEST.unpack_from(
                frame, at
            )
            return io.Request(request, customer, plan, cls, left, units, max(1, round(spread)), round(first))
        if code == ATTEMPT_ENDED:
            _, _, request, attempt, status, _, elapsed, units, backend, complete, columns, *report = (
                _ATTEMPT_ENDED.unpack_from(frame, at)
            )
            outcome = _OUTCOMES.get(status, io.Outcome.ERROR)
            load_report = tuple(report[: min(columns, 4)])
            return io.AttemptEnded(
                request, attempt, backend, outcome, elapsed, bool(complete), float(units), load_report
            )
        if code == BACKEND_LIST:
            _, _, kind, number, _ = _BACKEND_LIST.unpack_from(frame, at)
            list_kind = _LISTS.get(kind, io.ListKind.FAILED)
            entries = () if list_kind is io.ListKind.FAILED else self.lists.get(number, ())
            return io.BackendList(list_kind, entries)
        if code == TIMER_FIRED:
            return io.TimerFired(_TIMER_FIRED.unpack_from(frame, at)[2])
        if code == PEER_MESSAGE:
            _, _, peer, start, size = _PEER_MESSAGE.unpack_from(frame, at)
            return io.PeerMessage(peer, _tail_part(tail, start, size))
        if code == CLIENT_LEFT:
            return io.ClientLeft(_CLIENT_LEFT.unpack_from(frame, at)[2])
        if code == STREAM_STARTED:
            _, _, request, attempt, backend, _ = _STREAM_STARTED.unpack_from(frame, at)
            return io.StreamStarted(request, attempt, backend)
        if code == PROBE_ENDED:
            _, _, backend, status, elapsed, columns, *report = _PROBE_ENDED.unpack_from(frame, at)
            outcome = _OUTCOMES.get(status, io.Outcome.ERROR)
            return io.ProbeEnded(backend, outcome, elapsed, tuple(report[: min(columns, 4)]))
        raise FrameError(f"unknown event code {code}")


def _tail_part(tail: bytes, start: int, size: int) -> bytes:
    if start + size > len(tail):
        raise FrameError("a record refers to data beyond the end of its frame")
    return tail[start : start + size]


def _backend(
    cell: int, _kind: int, _rating: float, state: int, started_ns: int, backend: int, zone: int
) -> io.Backend:
    return io.Backend(backend, zone, cell, _STATES.get(state, io.BackendState.GONE), started_ns)


class _Reply:
    """Encodes actions as fixed-size records with a tail for texts and messages."""

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
                self.record(_SEND, 10, instance, request, max(1, timeout), backend)
            case io.Refuse(request, wait):
                self.record(_REFUSE, 20, instance, request, max(0, wait))
            case io.Fail(request):
                self.record(_ONE_ID, 30, instance, request)
            case io.Cancel(request, attempt):
                self.record(_CANCEL, 40, instance, request, attempt)
            case io.SetTimer(delay, token):
                self.record(_SET_TIMER, 50, instance, max(0, delay), token)
            case io.Probe(backend):
                self.record(_ONE_ID, 60, instance, backend)
            case io.CloseIdle(backend):
                self.record(_ONE_ID, 70, instance, backend)
            case io.SendPeerMessage(peer, data):
                self.record(_SEND_PEER_MESSAGE, 80, instance, peer, len(self.tail), len(data))
                self.tail += data
            case io.Log(text):
                self.text(90, instance, text)
            case io.Watch(on):
                self.record(_WATCH, 110, instance, int(on))
            case io.FetchList():
                self.record(_FETCH_LIST, 120, instance)

    def frame(self) -> bytes:
        body = b"".join(self.records) + bytes(self.tail)
        return _REPLY_HEAD.pack(self.index, _REPLY_HEAD.size + len(body), len(self.records)) + body


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise FrameError("input ends within a frame")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answers frames until the input ends; returns the exit code, 1 after a malformed frame."""
    host = Host()
    try:
        while start := source.read(8):
            if len(start) < 8:
                raise FrameError("input ends within a frame")
            length = int.from_bytes(start[4:8], "little")
            if length < _FRAME_HEAD.size:
                raise FrameError(f"a frame has a length of {length} bytes, which is less than its header")
            sink.write(host.answer(start + _read_exactly(source, length - 8)))
            sink.flush()
    except FrameError as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
