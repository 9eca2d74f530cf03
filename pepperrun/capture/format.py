"""The capture format, version 1. Does no I/O.

A file is eight bytes of magic and frames; a frame is a length and a CRC-32 of its payload (both big-endian,
32 bits) and the payload: a byte of its kind, and zlib over MessagePack. The first frame is a `Header`, the
last a `Footer` (missing in a file that was cut off), those between are `Block`s. Structs are arrays on the
wire: fields may be added at the end with a default and are skipped by older readers; anything else is another
version.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable, Iterator
from typing import Any, TypeVar

import msgspec

MAGIC = b"PRCAPT1\n"
VERSION = 1
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
_FRAME = struct.Struct(">II")


class FormatError(ValueError):
    """A file that can't be a capture; the text says where it stops making sense."""


class Class(msgspec.Struct, array_like=True, frozen=True):
    """A class of requests, times in ms."""

    name: str
    wanted_ms: float
    deadline_ms: float
    repeat: str  # safe, keyed, unsafe
    worth: float
    late_worth: float = 0.0


class Plan(msgspec.Struct, array_like=True, frozen=True):
    """A plan: units a second and at once for each customer over all gatekeepers."""

    name: str
    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_depth: float = 0.0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0


class Header(msgspec.Struct, array_like=True, frozen=True):
    """What holds for a whole file. `start_ns` is Unix time, from which entries count."""

    version: int
    gatekeeper: str
    number: int
    gatekeepers: int
    start_ns: int
    key_id: str  # customers of files with one id can be told to be the same
    classes: tuple[Class, ...]
    plans: tuple[Plan, ...]


class Attempt(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One attempt: worker's number in the file, its outcome, sent and ended in us after the request came."""

    worker: int
    outcome: str
    sent_us: int
    ended_us: int


class Entry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One request. Times in us; `at_us` counts from the file's start, the rest from `at_us`."""

    at_us: int
    cls: int
    plan: int
    customer: int  # hashed with the key
    units: float  # as guessed
    true_units: float  # 0 where not known
    budget_us: int
    end: str
    took_us: int
    spread: int
    first: int
    attempts: tuple[Attempt, ...] = ()
    gatekeeper: int = 0  # its number; a merged file holds those of several


class Worker(msgspec.Struct, array_like=True, frozen=True):
    """A worker's number in this file, its name and its zone."""

    number: int
    name: str
    zone: str


class Block(msgspec.Struct, array_like=True, frozen=True):
    """Some entries, and the workers that they are the first to name."""

    workers: tuple[Worker, ...]
    entries: tuple[Entry, ...]


class Footer(msgspec.Struct, array_like=True, frozen=True):
    """The file's last word: entries written to it, and dropped since the recorder's start."""

    written: int
    dropped: int
    until_us: int


_header_decoder: msgspec.msgpack.Decoder[Header] = msgspec.msgpack.Decoder(Header)
_footer_decoder: msgspec.msgpack.Decoder[Footer] = msgspec.msgpack.Decoder(Footer)
_block_decoder: msgspec.msgpack.Decoder[Block] = msgspec.msgpack.Decoder(Block)
_encoder = msgspec.msgpack.Encoder()
T = TypeVar("T")


def encode_frame(kind: bytes, what: msgspec.Struct) -> bytes:
    """A frame; `kind` is one byte: H, B or F."""
    payload = kind + zlib.compress(_encoder.encode(what), 1)
    return _FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def encode_file_start(header: Header) -> bytes:
    """How a file begins."""
    return MAGIC + encode_frame(b"H", header)


class Capture:
    """A file's contents. `remarks`: what is missing or odd; `complete`: it has its footer."""

    def __init__(self, header: Header) -> None:
        self.header = header
        self.workers: dict[int, Worker] = {}
        self.entries: list[Entry] = []
        self.dropped = 0
        self.complete = False
        self.remarks: list[str] = []


def _decode_frames(data: bytes) -> Iterator[tuple[int, bytes, bytes]]:
    at = len(MAGIC)
    while at < len(data):
        if at + _FRAME.size > len(data):
            raise FormatError(f"cut off at byte {at}")
        length, crc = _FRAME.unpack_from(data, at)
        payload = data[at + _FRAME.size : at + _FRAME.size + length]
        if length > MAX_FRAME_BYTES or not length:
            raise FormatError(f"a frame of {length} bytes at byte {at}")
        if len(payload) < length:
            raise FormatError(f"cut off at byte {at}")
        if zlib.crc32(payload) != crc:
            raise FormatError(f"wrong checksum at byte {at}")
        unpacker = zlib.decompressobj()
        try:
            body = unpacker.decompress(payload[1:], MAX_DECOMPRESSED_BYTES)
        except zlib.error as error:
            raise FormatError(f"{error} at byte {at}") from None
        if unpacker.unconsumed_tail:
            raise FormatError(f"a frame that unpacks to over {MAX_DECOMPRESSED_BYTES} bytes at byte {at}")
        yield at, payload[:1], body
        at += _FRAME.size + length


def _decode(decoder: msgspec.msgpack.Decoder[T], body: bytes, at: int) -> T:
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FormatError(f"{error} at byte {at}") from None


def decode_capture(data: bytes) -> Capture:
    """A file. One that is cut off or spoilt gives what stands before that, and a remark; without a header, or
    of another version, it is refused with `FormatError`."""
    if data[: len(MAGIC)] != MAGIC:
        raise FormatError("not a capture")
    frames = _decode_frames(data)
    try:
        at, kind, body = next(frames)
    except StopIteration:
        raise FormatError("no header") from None
    if kind != b"H":
        raise FormatError("no header")
    try:
        version = msgspec.msgpack.decode(body)[0]
    except (msgspec.DecodeError, TypeError, IndexError, KeyError, RecursionError) as error:
        raise FormatError(f"no header: {error}") from None
    if version != VERSION:
        raise FormatError(f"version {version!r}: this program reads version {VERSION}")
    capture = Capture(_decode(_header_decoder, body, at))
    try:
        _read_frames(frames, capture)
    except FormatError as error:
        capture.remarks.append(str(error))
    if not capture.complete and not capture.remarks:
        capture.remarks.append("no footer: it was still being written, or cut off between two blocks")
    return capture


def _read_frames(frames: Iterable[tuple[int, bytes, bytes]], capture: Capture) -> None:
    header, latest = capture.header, 0
    for at, kind, body in frames:
        if kind == b"B":
            block = _decode(_block_decoder, body, at)
            for worker in block.workers:
                capture.workers[worker.number] = worker
            for entry in block.entries:
                if not (0 <= entry.cls < len(header.classes) and 0 <= entry.plan < len(header.plans)):
                    raise FormatError(f"an entry of class {entry.cls}, plan {entry.plan} at byte {at}")
                if any(attempt.worker not in capture.workers for attempt in entry.attempts):
                    raise FormatError(f"an attempt at a worker without a name at byte {at}")
                latest = max(latest, entry.at_us)
                capture.entries.append(entry)
        elif kind == b"F":
            footer = _decode(_footer_decoder, body, at)
            capture.dropped, capture.complete = footer.dropped, True
            if footer.written != len(capture.entries):
                capture.remarks.append(f"{footer.written} entries were written, {len(capture.entries)} read")
        else:
            raise FormatError(f"an unknown frame at byte {at}")


def encode_capture(capture: Capture, each: int = 512) -> bytes:
    """A whole file."""
    entries, workers = capture.entries, tuple(capture.workers.values())
    parts = [encode_file_start(capture.header)]
    for start in range(0, max(1, len(entries)), each):
        some = tuple(entries[start : start + each])
        parts.append(encode_frame(b"B", Block(workers if start == 0 else (), some)))
    until = entries[-1].at_us if entries else 0
    parts.append(encode_frame(b"F", Footer(len(entries), capture.dropped, until)))
    return b"".join(parts)


def replace_fields(entry: Entry, **changes: Any) -> Entry:
    """An entry with some fields changed."""
    return msgspec.structs.replace(entry, **changes)
