"""Records on the disk: encoding with checksums, conversion of the durable state, and consistency checks.

This module is the codec of the stored state. Only this module and `formats` know the names of the records.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any

from pepperrun.consensus import codec
from pepperrun.consensus.state import Body, DurableState, Proposal, digest_of
from pepperrun.foundation.errors import CorruptStateError, PepperrunError, RemoteProtocolError
from pepperrun.storage import formats
from pepperrun.storage.formats import IDENTITY, Migration, Records, check_format, migrate

CHECKSUM_BYTES = 16  # length of the checksum at the start of each record
PROMISED = "promised"
ACCEPTED = "accepted"
CHOSEN = "chosen"
RECORD_NAMES = (IDENTITY, PROMISED, ACCEPTED, CHOSEN)
BODY_PREFIX = "body:"  # name of a body's record, followed by the body's digest

EncodedRecords = Mapping[bytes, bytes]


def encode_record(data: Any) -> bytes:
    """Return the bytes of a record: a checksum, then JSON text."""
    return encode_record_text(json.dumps(data, separators=(",", ":"), ensure_ascii=False))


def encode_record_text(text: str) -> bytes:
    """Return the bytes of a record whose data is JSON text already."""
    content = text.encode()
    return hashlib.blake2b(content, digest_size=CHECKSUM_BYTES).digest() + content


def decode_record(encoded: bytes, name: str) -> Any:
    """Return the data of a record, after verifying its checksum.

    Raises
    ------
    CorruptStateError
        The checksum is wrong, or the text is not JSON.
    """
    checksum, text = encoded[:CHECKSUM_BYTES], encoded[CHECKSUM_BYTES:]
    if hashlib.blake2b(text, digest_size=CHECKSUM_BYTES).digest() != checksum:
        raise CorruptStateError("reading", f"the checksum of {name} is wrong")
    try:
        return json.loads(text)
    except ValueError as error:
        raise CorruptStateError("reading", f"{name}: {error}") from None


def to_records(state: DurableState, owner: str) -> tuple[Records, dict[str, Body]]:
    """Return the records of a state in the current format, and its bodies by the names of their records.

    Parameters
    ----------
    owner : str
        Ip of the machine that owns the disk; empty while it has no owner. The owner is stored because the
        disks of all first contacts have the same id: a disk moved to another machine could otherwise vote as
        an incarnation that made other promises.
    """
    records: Records = {
        IDENTITY: [formats.CURRENT_FORMAT, state.disk_id, state.starts, owner],
        PROMISED: state.promised,
        ACCEPTED: _proposal_record(state.accepted),
        CHOSEN: _proposal_record(state.chosen),
    }
    proposals = (state.accepted, state.chosen)
    bodies = {
        BODY_PREFIX + proposal.value.digest: proposal.body for proposal in proposals if proposal is not None
    }
    return records, bodies


def read_state(encoded: EncodedRecords, migrations: Mapping[int, Migration] | None = None) -> DurableState:
    """Return the state that encoded records of any format hold.

    Raises
    ------
    CorruptStateError
        A record is missing or damaged.
    NewerFormatError
        A later version wrote the records.
    """
    try:
        found, *_ = decode_record(encoded[IDENTITY.encode()], IDENTITY)
        # Checked before any other record is read: a later version may encode records in another way.
        if check_format(found) < formats.CURRENT_FORMAT:
            records = {key.decode(): decode_record(data, key.decode()) for key, data in encoded.items()}
            return from_records(migrate(records, found, migrations))
        return from_records(_decode_current_format(encoded))
    except (KeyError, TypeError, ValueError, RemoteProtocolError) as error:
        raise CorruptStateError("reading", f"{type(error).__name__}: {error}") from None


def _decode_current_format(encoded: EncodedRecords) -> Records:
    """Decode the records of the current format and the bodies that they name."""
    records = {name: decode_record(encoded[name.encode()], name) for name in RECORD_NAMES}
    for name in (ACCEPTED, CHOSEN):
        if records[name] is not None:
            key = BODY_PREFIX + codec.decode_value(records[name][1]).digest
            records[key] = decode_record(encoded[key.encode()], key)
    return records


def owner_of(identity: Any) -> str:
    """Return the ip of the owner in the identity record; empty if an earlier version wrote none."""
    return str(identity[3]) if len(identity) > 3 else ""


def from_records(records: Records) -> DurableState:
    """Return the state that decoded records of the current format hold.

    Raises
    ------
    PepperrunError
        A record has invalid content.
    KeyError
        A record is missing.
    """
    _, disk_id, starts, *_ = records[IDENTITY]
    if not isinstance(disk_id, str) or type(starts) is not int:
        raise CorruptStateError("reading", f"{IDENTITY}: the disk id or the count of starts is invalid")
    return DurableState(
        disk_id=disk_id,
        starts=starts,
        promised=codec.decode_ballot(records[PROMISED]),
        accepted=_proposal(records, ACCEPTED),
        chosen=_proposal(records, CHOSEN),
    )


def find_problems(encoded: EncodedRecords) -> list[str]:
    """Return one sentence for each problem; an empty list if a start would load the complete state."""
    found = [f"The record {name} is missing." for name in RECORD_NAMES if name.encode() not in encoded]
    records: Records = {}
    for key, data in sorted(encoded.items()):
        name = key.decode("utf-8", "replace")
        try:
            records[name] = decode_record(data, name)
        except PepperrunError as error:
            found.append(f"{error.detail[:1].upper()}{error.detail[1:]}.")
            continue
        if name.startswith(BODY_PREFIX) and digest_of(records[name]) != name.removeprefix(BODY_PREFIX):
            found.append(f"The record {name} contains a body with another digest.")
    found += _missing_bodies(encoded, records)
    if not found:
        try:
            read_state(encoded)
        except PepperrunError as error:
            found.append(f"The durable state can't be read: {error.detail}.")
    return found


def _missing_bodies(encoded: EncodedRecords, records: Records) -> list[str]:
    """Return one sentence for each body that a proposal names and that has no record."""
    found = []
    for name in (ACCEPTED, CHOSEN):
        try:
            digest = codec.decode_value(records[name][1]).digest if records.get(name) else None
        except (PepperrunError, LookupError, TypeError):
            continue  # `read_state` reports this
        if digest is not None and f"{BODY_PREFIX}{digest}".encode() not in encoded:
            found.append(f"The body {digest} that {name} names is missing.")
    return found


def _proposal(records: Records, name: str) -> Proposal | None:
    data = records[name]
    if data is None:
        return None
    ballot = codec.decode_ballot(data[0])
    value = codec.decode_value(data[1])
    body: Body = records[BODY_PREFIX + value.digest]
    if digest_of(body) != value.digest:
        raise CorruptStateError("reading", f"{BODY_PREFIX}{value.digest} contains a body with another digest")
    return Proposal(ballot, value, body)


def _proposal_record(proposal: Proposal | None) -> list[Any] | None:
    """Return the record of a proposal without its body, which is stored in a record of its own."""
    return None if proposal is None else [proposal.ballot, codec.encode_value(proposal.value)]
