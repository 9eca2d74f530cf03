"""Codec of the consensus: converts typed messages to the JSON objects on the wire and back.

Only this module knows the short field names; `storage.records` uses its encoding of ballots and values for
the disk. A message is an object with its kind under `t`:

| `t` | message | fields |
| --- | --- | --- |
| ask | `Prepare` | b ballot |
| promise | `Promise` | b ballot, l disk id, a and v accepted ballot and value |
| put | `Accept` | b ballot, v value, f and o delta, w full body |
| need | `BodyNeeded` | b ballot |
| taken | `Accepted` | b ballot, l disk id |
| refuse | `Rejected` | b ballot, a promised ballot |
| chosen | `Chosen` | b ballot, v value, f and o delta, w full body |
| news | `CatchUpRequest` | c chosen ballot, h known digests |
| want, body | `BodyRequest`, `BodyReply` | d digest, w body |
| read | `QuorumRead` | s read id, c chosen ballot, l disk id |
| seen | `QuorumReadReply` | s read id, l disk id, a accepted, c chosen ballot, q suspected coordinator |
| leave | `StoppingNotice` | l disk id |

A ballot is `[round, proposer]`, a value `[version, voters, outgoing voters, coordinator, digest]`, a voter
`[ip, disk id]`. Unknown fields are ignored, so that later versions can add some.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from pepperrun.consensus.messages import (
    Accept,
    Accepted,
    BodyDelta,
    BodyNeeded,
    BodyReply,
    BodyRequest,
    CatchUpRequest,
    Chosen,
    Message,
    Prepare,
    Promise,
    QuorumRead,
    QuorumReadReply,
    Rejected,
    StoppingNotice,
)
from pepperrun.consensus.state import Ballot, Body, Incarnation, Operation, Value
from pepperrun.foundation.errors import RemoteProtocolError

WireMessage = dict[str, Any]

MAX_TEXT = 200  # characters of a disk id, an ip, a digest
MAX_VOTERS = 64
MAX_OPERATIONS = 64
MAX_INTEGER = (1 << 53) - 1  # larger JSON numbers can lose digits in a decoder that uses doubles

_MISSING = object()


def _invalid(detail: str) -> RemoteProtocolError:
    return RemoteProtocolError("bad-message", "consensus", detail)


# Fields of messages.


def _text(data: Any) -> str:
    if not isinstance(data, str) or len(data) > MAX_TEXT:
        raise _invalid("a text field is not a string or is too long")
    return data


def _integer(data: Any) -> int:
    if type(data) is not int or not -1 <= data <= MAX_INTEGER:
        raise _invalid("a number is not an integer or is out of range")
    return data


def decode_ballot(data: Any) -> Ballot:
    """Return the ballot that JSON data encodes.

    Raises
    ------
    RemoteProtocolError
        The data is not a valid ballot.
    """
    if not isinstance(data, list | tuple) or len(data) != 2:
        raise _invalid("a ballot is not a pair")
    return Ballot(_integer(data[0]), _text(data[1]))


def _decode_voters(data: Any) -> tuple[Incarnation, ...]:
    if not isinstance(data, list) or len(data) > MAX_VOTERS:
        raise _invalid("the voters are not a list or are too many")
    voters = []
    for voter in data:
        if not isinstance(voter, list) or len(voter) != 2:
            raise _invalid("a voter is not a pair")
        voters.append(Incarnation(_text(voter[0]), _text(voter[1])))
    return tuple(voters)


def decode_value(data: Any) -> Value:
    """Return the value that JSON data encodes.

    Raises
    ------
    RemoteProtocolError
        The data is not a valid value, or the value has no voters.
    """
    if not isinstance(data, list) or len(data) != 5:
        raise _invalid("a value is not a list of five elements")
    version, voters, outgoing_voters, coordinator, digest = data
    value = Value(
        version=_integer(version),
        voters=_decode_voters(voters),
        outgoing_voters=_decode_voters(outgoing_voters),
        coordinator=_text(coordinator),
        digest=_text(digest),
    )
    if not value.voters:
        raise _invalid("a value has no voters")
    return value


def encode_value(value: Value) -> list[Any]:
    """Return the JSON data of a value, which `decode_value` reads."""
    voters = [list(voter) for voter in value.voters]
    outgoing_voters = [list(voter) for voter in value.outgoing_voters]
    return [value.version, voters, outgoing_voters, value.coordinator, value.digest]


def _decode_body(data: Any) -> Body:
    if not isinstance(data, dict):
        raise _invalid("a body is not an object")
    return data


def _decode_operations(data: Any) -> list[Operation]:
    if not isinstance(data, list) or len(data) > MAX_OPERATIONS:
        raise _invalid("the operations are not a list or are too many")
    if not all(isinstance(operation, dict) for operation in data):
        raise _invalid("an operation is not an object")
    return data


def _decode_digests(data: Any) -> list[str]:
    if not isinstance(data, list) or len(data) > MAX_VOTERS:
        raise _invalid("the digests are not a list or are too many")
    return [_text(digest) for digest in data]


def _required(data: Mapping[str, Any], field: str) -> Any:
    content = data.get(field, _MISSING)
    if content is _MISSING:
        raise _invalid(f"the field {field} of {data['t']} is missing")
    return content


def _ballot(data: Mapping[str, Any]) -> Ballot:
    return decode_ballot(_required(data, "b"))


def _disk_id(data: Mapping[str, Any]) -> str:
    return _text(_required(data, "l"))


def _optional_ballot(data: Mapping[str, Any], field: str) -> Ballot | None:
    return decode_ballot(data[field]) if field in data else None


def _optional_value(data: Mapping[str, Any]) -> Value | None:
    return decode_value(data["v"]) if "v" in data else None


def _optional_delta(data: Mapping[str, Any]) -> BodyDelta | None:
    base_digest = _text(data["f"]) if "f" in data else None
    operations = _decode_operations(data["o"]) if "o" in data else None
    if base_digest is None or operations is None:
        return None
    return BodyDelta(base_digest, operations)


def _optional_body(data: Mapping[str, Any]) -> Body | None:
    return _decode_body(data["w"]) if "w" in data else None


# Decoders by kind.


def _decode_prepare(data: WireMessage) -> Prepare:
    return Prepare(_ballot(data))


def _decode_promise(data: WireMessage) -> Promise:
    accepted_ballot = _optional_ballot(data, "a")
    accepted_value = _optional_value(data)
    if accepted_ballot is not None and accepted_value is None:
        raise _invalid("a promise has an accepted ballot without its value")
    return Promise(_ballot(data), _disk_id(data), accepted_ballot, accepted_value)


def _decode_accept(data: WireMessage) -> Accept:
    value = decode_value(_required(data, "v"))
    return Accept(_ballot(data), value, _optional_delta(data), _optional_body(data))


def _decode_body_needed(data: WireMessage) -> BodyNeeded:
    return BodyNeeded(_ballot(data))


def _decode_accepted(data: WireMessage) -> Accepted:
    return Accepted(_ballot(data), _disk_id(data))


def _decode_rejected(data: WireMessage) -> Rejected:
    return Rejected(_ballot(data), decode_ballot(_required(data, "a")))


def _decode_chosen(data: WireMessage) -> Chosen:
    return Chosen(_ballot(data), _optional_value(data), _optional_delta(data), _optional_body(data))


def _decode_catch_up_request(data: WireMessage) -> CatchUpRequest:
    return CatchUpRequest(decode_ballot(_required(data, "c")), _decode_digests(_required(data, "h")))


def _decode_body_request(data: WireMessage) -> BodyRequest:
    return BodyRequest(_text(_required(data, "d")))


def _decode_body_reply(data: WireMessage) -> BodyReply:
    return BodyReply(_text(_required(data, "d")), _decode_body(_required(data, "w")))


def _decode_quorum_read(data: WireMessage) -> QuorumRead:
    read_id = _integer(_required(data, "s"))
    return QuorumRead(read_id, decode_ballot(_required(data, "c")), _disk_id(data))


def _decode_quorum_read_reply(data: WireMessage) -> QuorumReadReply:
    return QuorumReadReply(
        read_id=_integer(_required(data, "s")),
        disk_id=_disk_id(data),
        accepted_ballot=_optional_ballot(data, "a"),
        chosen_ballot=_optional_ballot(data, "c"),
        suspected_coordinator=_text(data["q"]) if "q" in data else None,
    )


def _decode_stopping_notice(data: WireMessage) -> StoppingNotice:
    return StoppingNotice(_disk_id(data))


_DECODERS: dict[str, Callable[[WireMessage], Message]] = {
    "ask": _decode_prepare,
    "promise": _decode_promise,
    "put": _decode_accept,
    "need": _decode_body_needed,
    "taken": _decode_accepted,
    "refuse": _decode_rejected,
    "chosen": _decode_chosen,
    "news": _decode_catch_up_request,
    "want": _decode_body_request,
    "body": _decode_body_reply,
    "read": _decode_quorum_read,
    "seen": _decode_quorum_read_reply,
    "leave": _decode_stopping_notice,
}


def is_known(data: Any) -> bool:
    """Whether this version knows the kind of a message. True also for data without a kind.

    `decode` then rejects that data.
    """
    if not isinstance(data, dict) or not isinstance(data.get("t"), str):
        return True
    return data["t"] in _DECODERS


def decode(data: Any) -> Message:
    """Return the typed message that JSON data encodes.

    Raises
    ------
    RemoteProtocolError
        The kind is unknown, or a field is missing, of the wrong type or out of range.
    """
    kind = data.get("t") if isinstance(data, dict) else None
    decoder = _DECODERS.get(kind) if isinstance(kind, str) else None
    if decoder is None:
        raise _invalid("the kind is unknown")
    return decoder(data)


# Encoders by type.


def _encode_prepare(message: Prepare) -> WireMessage:
    return {"t": "ask", "b": message.ballot}


def _encode_promise(message: Promise) -> WireMessage:
    data: WireMessage = {"t": "promise", "b": message.ballot, "l": message.disk_id}
    if message.accepted_ballot is not None and message.accepted_value is not None:
        data["a"] = message.accepted_ballot
        data["v"] = encode_value(message.accepted_value)
    return data


def _encode_accept(message: Accept) -> WireMessage:
    return _with_value_and_body({"t": "put", "b": message.ballot}, message)


def _encode_body_needed(message: BodyNeeded) -> WireMessage:
    return {"t": "need", "b": message.ballot}


def _encode_accepted(message: Accepted) -> WireMessage:
    return {"t": "taken", "b": message.ballot, "l": message.disk_id}


def _encode_rejected(message: Rejected) -> WireMessage:
    return {"t": "refuse", "b": message.ballot, "a": message.promised}


def _encode_chosen(message: Chosen) -> WireMessage:
    return _with_value_and_body({"t": "chosen", "b": message.ballot}, message)


def _with_value_and_body(data: WireMessage, message: Accept | Chosen) -> WireMessage:
    """Add the value, and its body as a delta or in full, where the message has them."""
    if message.value is not None:
        data["v"] = encode_value(message.value)
    if message.delta is not None:
        data["f"] = message.delta.base_digest
        data["o"] = message.delta.operations
    if message.full_body is not None:
        data["w"] = message.full_body
    return data


def _encode_catch_up_request(message: CatchUpRequest) -> WireMessage:
    return {"t": "news", "c": message.chosen_ballot, "h": message.known_digests}


def _encode_body_request(message: BodyRequest) -> WireMessage:
    return {"t": "want", "d": message.digest}


def _encode_body_reply(message: BodyReply) -> WireMessage:
    return {"t": "body", "d": message.digest, "w": message.body}


def _encode_quorum_read(message: QuorumRead) -> WireMessage:
    return {"t": "read", "s": message.read_id, "c": message.chosen_ballot, "l": message.disk_id}


def _encode_quorum_read_reply(message: QuorumReadReply) -> WireMessage:
    data: WireMessage = {"t": "seen", "s": message.read_id, "l": message.disk_id}
    if message.accepted_ballot is not None:
        data["a"] = message.accepted_ballot
    if message.chosen_ballot is not None:
        data["c"] = message.chosen_ballot
    if message.suspected_coordinator is not None:
        data["q"] = message.suspected_coordinator
    return data


def _encode_stopping_notice(message: StoppingNotice) -> WireMessage:
    return {"t": "leave", "l": message.disk_id}


_ENCODERS: dict[type[Any], Callable[[Any], WireMessage]] = {
    Prepare: _encode_prepare,
    Promise: _encode_promise,
    Accept: _encode_accept,
    Accepted: _encode_accepted,
    BodyNeeded: _encode_body_needed,
    Rejected: _encode_rejected,
    Chosen: _encode_chosen,
    CatchUpRequest: _encode_catch_up_request,
    BodyRequest: _encode_body_request,
    BodyReply: _encode_body_reply,
    QuorumRead: _encode_quorum_read,
    QuorumReadReply: _encode_quorum_read_reply,
    StoppingNotice: _encode_stopping_notice,
}


def encode(message: Message) -> WireMessage:
    """Return the JSON data of a message. Ballots stay named tuples, which JSON encodes as lists."""
    return _ENCODERS[type(message)](message)
