"""The capture format, version 1. Does no I/O.

A file is eight magic bytes followed by frames. A frame is the length and the CRC-32 of its payload (both
big-endian, 32 bits) followed by the payload: one byte for the kind, then MessagePack compressed with zlib.
The first frame is a `Header`, the last a `Footer` (missing in a truncated file), the frames between are
`Block`s. Structs are encoded as arrays: fields may be added at the end with a default, and older readers skip
them. Any other change needs a new version.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable, Iterator
from typing import Any, TypeVar

import msgspec

MAGIC = b"PRCAPT1\n"
VERSION = 1
MAX_FRAME_BYTES = 4 * 1024 * 1024  # compressed payload
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
_FRAME = struct.Struct(">II")


class FormatError(ValueError):
    """Data that is not a valid capture. The message says what is wrong and, within frames, at which byte."""


class Class(msgspec.Struct, array_like=True, frozen=True):
    """A class of requests. Times are in ms.

    `worth` and `late_worth`: the value of an answer within the latency target `wanted_ms` and after it.
    """

    name: str
    wanted_ms: float
    deadline_ms: float
    repeat: str  # whether a request may run again: safe, keyed, unsafe
    worth: float
    late_worth: float = 0.0


class Plan(msgspec.Struct, array_like=True, frozen=True):
    """Quotas of each customer of a plan, summed over all gatekeepers.

    `rate` (units/s) and `burst` (units) form the quota, `ceiling_rate` (units/s) and `ceiling_depth` (units)
    the hard rate limit. `price`: factor on a request's value. `over_worth` and `over_cost`: factor on the
    value, and cost, of a request beyond the quota.
    """

    name: str
    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_depth: float = 0.0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0


class Header(msgspec.Struct, array_like=True, frozen=True):
    """The gatekeeper and the settings of a whole file.

    `start_ns` is Unix time; the times of entries are relative to it. `number` is that of the gatekeeper,
    `gatekeepers` how many there are.
    """

    version: int
    gatekeeper: str
    number: int
    gatekeepers: int
    start_ns: int
    key_id: str  # id of the hash key; customers can be matched across files with the same id
    classes: tuple[Class, ...]
    plans: tuple[Plan, ...]


class Attempt(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One attempt of a request. Times are in us after the arrival of the request.

    `worker` is the worker's number in the file. An attempt that was still in flight has the outcome "out" and
    an `ended_us` of -1.
    """

    worker: int
    outcome: str
    sent_us: int
    ended_us: int


class Entry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One request. Times are in us: `at_us` is relative to the file's start, all others to `at_us`.

    The customer uses `spread` gatekeepers, from number `first` on, modulo their number.
    """

    at_us: int
    cls: int
    plan: int
    customer: int  # keyed hash of the customer's number
    units: float  # as estimated before the request ran
    true_units: float  # as reported with the response; 0 if unknown
    budget_us: int  # time until the deadline
    end: str  # how the request ended, a value of `exchange.End`
    took_us: int  # time until the final answer
    spread: int
    first: int
    attempts: tuple[Attempt, ...] = ()
    gatekeeper: int = 0  # number of the gatekeeper; a merged file has entries of several


class Worker(msgspec.Struct, array_like=True, frozen=True):
    """A worker. `number` identifies the worker within this file only."""

    number: int
    name: str
    zone: str


class Block(msgspec.Struct, array_like=True, frozen=True):
    """A batch of entries, and the workers that no earlier block of the file has named."""

    workers: tuple[Worker, ...]
    entries: tuple[Entry, ...]


class Footer(msgspec.Struct, array_like=True, frozen=True):
    """The last frame: how many entries the file has, and how many were dropped since the recorder's start.

    `until_us` is the latest `at_us` of the entries.
    """

    written: int
    dropped: int
    until_us: int


_header_decoder: msgspec.msgpack.Decoder[Header] = msgspec.msgpack.Decoder(Header)
_footer_decoder: msgspec.msgpack.Decoder[Footer] = msgspec.msgpack.Decoder(Footer)
_block_decoder: msgspec.msgpack.Decoder[Block] = msgspec.msgpack.Decoder(Block)
_encoder = msgspec.msgpack.Encoder()
T = TypeVar("T")


def encode_frame(kind: bytes, content: msgspec.Struct) -> bytes:
    """Returns the bytes of a frame. `kind` is one byte: H (header), B (block) or F (footer)."""
    payload = kind + zlib.compress(_encoder.encode(content), 1)
    return _FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def encode_file_start(header: Header) -> bytes:
    """Returns the magic bytes and the header frame, with which a file begins."""
    return MAGIC + encode_frame(b"H", header)


class Capture:
    """The decoded contents of a file.

    `dropped`: entries that the recorder dropped. `complete`: the file has a footer. `remarks`: texts for the
    operator about what is missing or inconsistent.
    """

    def __init__(self, header: Header) -> None:
        self.header = header
        self.workers: dict[int, Worker] = {}
        self.entries: list[Entry] = []
        self.dropped = 0
        self.complete = False
        self.remarks: list[str] = []


def _decode_frames(data: bytes) -> Iterator[tuple[int, bytes, bytes]]:
    offset = len(MAGIC)
    while offset < len(data):
        if offset + _FRAME.size > len(data):
            raise FormatError(f"file is truncated at byte {offset}")
        length, crc = _FRAME.unpack_from(data, offset)
        payload = data[offset + _FRAME.size : offset + _FRAME.size + length]
        if length > MAX_FRAME_BYTES or not length:
            raise FormatError(f"invalid frame length of {length} bytes at byte {offset}")
        if len(payload) < length:
            raise FormatError(f"file is truncated at byte {offset}")
        if zlib.crc32(payload) != crc:
            raise FormatError(f"wrong checksum at byte {offset}")
        decompressor = zlib.decompressobj()
        try:
            body = decompressor.decompress(payload[1:], MAX_DECOMPRESSED_BYTES)
        except zlib.error as error:
            raise FormatError(f"{error} at byte {offset}") from None
        if decompressor.unconsumed_tail:
            raise FormatError(f"frame exceeds {MAX_DECOMPRESSED_BYTES} bytes decompressed at byte {offset}")
        yield offset, payload[:1], body
        offset += _FRAME.size + length


def _decode(decoder: msgspec.msgpack.Decoder[T], body: bytes, offset: int) -> T:
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FormatError(f"{error} at byte {offset}") from None


def decode_capture(data: bytes) -> Capture:
    """Decodes a file. A truncated or corrupt file gives the entries before the fault, and a remark.

    Raises FormatError if the magic bytes or the header are missing or invalid, or the version is another.
    """
    if data[: len(MAGIC)] != MAGIC:
        raise FormatError("not a capture file")
    frames = _decode_frames(data)
    try:
        offset, kind, body = next(frames)
    except StopIteration:
        raise FormatError("no header") from None
    if kind != b"H":
        raise FormatError("no header")
    try:
        version = msgspec.msgpack.decode(body)[0]
    except (msgspec.DecodeError, TypeError, IndexError, KeyError, RecursionError) as error:
        raise FormatError(f"invalid header: {error}") from None
    if version != VERSION:
        raise FormatError(f"version {version!r} is not supported; this program reads version {VERSION}")
    capture = Capture(_decode(_header_decoder, body, offset))
    try:
        _read_frames(frames, capture)
    except FormatError as error:
        capture.remarks.append(str(error))
    if not capture.complete and not capture.remarks:
        capture.remarks.append(
            "no footer: the file was still being written, or was truncated between two blocks"
        )
    return capture


def _read_frames(frames: Iterable[tuple[int, bytes, bytes]], capture: Capture) -> None:
    header, last_at_us = capture.header, 0
    for offset, kind, body in frames:
        if kind == b"B":
            block = _decode(_block_decoder, body, offset)
            for worker in block.workers:
                capture.workers[worker.number] = worker
            for entry in block.entries:
                if not (0 <= entry.cls < len(header.classes) and 0 <= entry.plan < len(header.plans)):
                    raise FormatError(
                        f"entry with an unknown class {entry.cls} or plan {entry.plan} at byte {offset}"
                    )
                if any(attempt.worker not in capture.workers for attempt in entry.attempts):
                    raise FormatError(f"attempt at a worker without a name at byte {offset}")
                last_at_us = max(last_at_us, entry.at_us)
                capture.entries.append(entry)
        elif kind == b"F":
            footer = _decode(_footer_decoder, body, offset)
            capture.dropped, capture.complete = footer.dropped, True
            if footer.written != len(capture.entries):
                capture.remarks.append(
                    f"{footer.written} entries according to the footer, but {len(capture.entries)} were read"
                )
        else:
            raise FormatError(f"unknown frame kind at byte {offset}")


def encode_capture(capture: Capture, entries_per_block: int = 512) -> bytes:
    """Returns the bytes of a complete file, with `entries_per_block` entries in each block."""
    entries, workers = capture.entries, tuple(capture.workers.values())
    chunks = [encode_file_start(capture.header)]
    for start in range(0, max(1, len(entries)), entries_per_block):
        chunk = tuple(entries[start : start + entries_per_block])
        chunks.append(encode_frame(b"B", Block(workers if start == 0 else (), chunk)))
    last_at_us = entries[-1].at_us if entries else 0
    chunks.append(encode_frame(b"F", Footer(len(entries), capture.dropped, last_at_us)))
    return b"".join(chunks)


def replace_fields(entry: Entry, **changes: Any) -> Entry:
    """Returns a copy of an entry with the given fields replaced."""
    return msgspec.structs.replace(entry, **changes)
