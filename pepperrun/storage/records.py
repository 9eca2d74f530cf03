"""Records of the disk: sealed with checksums, opened, put together to a memory; what is wrong with them."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any

from pepperrun.foundation.errors import PepperrunError
from pepperrun.consensus import messages
from pepperrun.consensus.values import Body, Held, Memory, digest_of
from pepperrun.storage import formats
from pepperrun.storage.formats import Records, Step, to_present

CHECK = 16  # bytes of the checksum before each record
NAMES = ("life", "promised", "accepted", "chosen")
BODY = "body:"

Raw = Mapping[bytes, bytes]


def sealed(data: Any) -> bytes:
    """A record's bytes."""
    return sealed_text(json.dumps(data, separators=(",", ":"), ensure_ascii=False))


def sealed_text(written: str) -> bytes:
    """As `sealed`, of JSON that is written already."""
    text = written.encode()
    return hashlib.blake2b(text, digest_size=CHECK).digest() + text


def opened(data: bytes, name: str) -> Any:
    """What a record holds; PepperrunError `disk-doubtful` where it is not what was sealed."""
    if hashlib.blake2b(data[CHECK:], digest_size=CHECK).digest() != data[:CHECK]:
        raise PepperrunError("disk-doubtful", "reading", f"the checksum of {name} is wrong")
    try:
        return json.loads(data[CHECK:])
    except ValueError as error:
        raise PepperrunError("disk-doubtful", "reading", f"{name}: {error}") from None


def laid_out(memory: Memory, owner: str) -> tuple[Records, dict[str, Body]]:
    """The records of a memory in the present format, and its bodies by their records' names.

    `owner`: the ip of its machine, "" while it has none. Lives of the first contacts have one name, so a disk
    in the wrong machine could vote as a life that promised other things.
    """
    records: Records = {
        "life": [formats.FORMAT, memory.life, memory.starts, owner],
        "promised": memory.promised,
        "accepted": _named(memory.accepted),
        "chosen": _named(memory.chosen),
    }
    both = (memory.accepted, memory.chosen)
    return records, {BODY + one.value.digest: one.body for one in both if one is not None}


def recall(raw: Raw, steps: Mapping[int, Step] | None = None) -> Memory:
    """The memory that these records hold, of whatever format; raises `disk-doubtful` or `disk-newer`."""
    try:
        form, *_ = opened(raw[b"life"], "life")
        if form != formats.FORMAT:
            if isinstance(form, int) and form < formats.FORMAT:
                records = {key.decode(): opened(data, key.decode()) for key, data in raw.items()}
                return put_together(to_present(records, form, steps))
            to_present({}, form)  # says so before anything else is read: a later one may seal otherwise
        records = {name: opened(raw[name.encode()], name) for name in NAMES}
        for name in ("accepted", "chosen"):
            if records[name] is not None:
                key = BODY + messages.value(records[name][1]).digest
                records[key] = opened(raw[key.encode()], key)
        return put_together(records)
    except (KeyError, TypeError, ValueError) as error:
        raise PepperrunError("disk-doubtful", "reading", f"{type(error).__name__}: {error}") from None


def owner_of(life: Any) -> str:
    """The ip that a record `life` names; "" where it names none (an earlier version wrote none)."""
    return str(life[3]) if len(life) > 3 else ""


def put_together(records: Records) -> Memory:
    """The memory of opened records in the present format; PepperrunError or KeyError if it is none."""
    _, life, starts, *_ = records["life"]
    if not isinstance(life, str) or type(starts) is not int:
        raise PepperrunError("disk-doubtful", "reading", "life: no name or no count")
    accepted, chosen = (_held(records, name) for name in ("accepted", "chosen"))
    return Memory(life, starts, messages.ballot(records["promised"]), accepted, chosen)


def faults(raw: Raw) -> list[str]:
    """What is wrong, one sentence each; nothing where a start would find its whole memory."""
    found, records = [], {}
    for name in NAMES:
        if name.encode() not in raw:
            found.append(f"The record {name} is missing.")
    for key, data in sorted(raw.items()):
        name = key.decode("utf-8", "replace")
        try:
            records[name] = opened(data, name)
        except PepperrunError as error:
            found.append(f"{error.detail[:1].upper()}{error.detail[1:]}.")
            continue
        if name.startswith(BODY) and digest_of(records[name]) != name[len(BODY) :]:
            found.append(f"The record {name} holds a body of another digest.")
    for name in ("accepted", "chosen"):
        try:
            digest = messages.value(records[name][1]).digest if records.get(name) else None
        except (PepperrunError, LookupError, TypeError):
            continue  # told below
        if digest is not None and f"{BODY}{digest}".encode() not in raw:
            found.append(f"The body {digest} that {name} names is missing.")
    if not found:
        try:
            recall(raw)
        except PepperrunError as error:
            found.append(f"It can't be read as a memory: {error.detail}.")
    return found


def _held(records: Records, name: str) -> Held | None:
    data = records[name]
    if data is None:
        return None
    ballot, value = messages.ballot(data[0]), messages.value(data[1])
    body: Body = records[BODY + value.digest]
    if digest_of(body) != value.digest:
        raise PepperrunError("disk-doubtful", "reading", f"{BODY}{value.digest} is of another digest")
    return Held(ballot, value, body)


def _named(held: Held | None) -> Any:
    return None if held is None else [held.ballot, messages.wire(held.value)]
