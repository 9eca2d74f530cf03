"""The wire host: frames, settings, and the codes of events and actions."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest

from pepperrun.config import read_settings
from pepperrun.core import interface as api
from pepperrun.wirehost import FrameError, Host, _Reply, serve

PARAMS = {
    "Me": 1,
    "ReplicasOfMe": 3,
    "Az": 2,
    "PeriodNs": 4000000,
    "Unknown": {"x": [1]},
    "Classes": [
        {"Name": "a", "OnTimeNs": 10**9, "DeadlineNs": 4 * 10**9, "Semantics": "read_like"},
        {
            "Name": "b",
            "OnTimeNs": 10**9,
            "DeadlineNs": 4 * 10**9,
            "Semantics": "idempotency_key",
            "Group": "zone",
            "WindowNs": 5,
        },
    ],
    "Tariffs": [{"Name": "p", "Refill": 2.5, "StoreSize": 30.0, "CapRate": 5.0, "NeverOverDepth": 60.0}],
    "Limits": {"MostTries": 6, "MayDuplicate": False, "PeerMessages": True},
    "Rules": {"ColdFrom": 0.16, "ColdNs": 15 * 10**9},
    "Domain": {"PeerIntake": 100.0, "PostPaid": True, "MostUnits": 8},
}


def batch(index: int, now: int, records: list[bytes], tail: bytes = b"") -> bytes:
    body = b"".join(record.ljust(48, b"\0") for record in records) + tail
    return struct.pack("<IIQI", index, 20 + len(body), now, len(records)) + body


def launch_instance(instance: int, params: bytes, start: int = 0) -> bytes:
    return struct.pack("<BIQII", 10, instance, 7, start, len(params))


def list_entry(backend: int, state: int = 2, born: int = 0, zone: int = 0) -> bytes:
    return struct.pack("<HHfBQIH", 3, 0, 1.0, state, born, backend, zone)


def request_record(instance: int, request: int, customer: int = 5) -> bytes:
    return struct.pack("<BIIfBIQQHff", 30, instance, request, 1.0, 0, 0, 3 * 10**9, customer, 0, 1.0, 2.0)


def started_host(*list_entries: bytes) -> Host:
    host = Host()
    params = json.dumps(PARAMS).encode()
    backend_list = struct.pack("<BHII", 120, 0, len(params), len(list_entries))
    members = struct.pack("<BIBHI", 20, 3, 2, 0, 1)
    host.answer(
        batch(1, 10**9, [launch_instance(3, params), backend_list, members], params + b"".join(list_entries))
    )
    return host


def records(reply: bytes) -> list[bytes]:
    count = struct.unpack_from("<I", reply, 8)[0]
    return [reply[12 + 32 * n : 44 + 32 * n] for n in range(count)]


def test_settings_are_read_and_unknown_keys_are_ignored() -> None:
    settings = read_settings(json.dumps(PARAMS))
    assert (settings.me, settings.gateways, settings.zone, settings.max_attempts) == (1, 3, 2, 6)
    assert settings.classes[1].group is api.Group.ZONE
    assert settings.plans[0].ceiling_depth == 60.0
    assert settings.reconciles_units and not settings.hedging
    assert settings.max_retry_after_ns == 0


@pytest.mark.parametrize("key", ["Me", "ReplicasOfMe", "Classes", "Tariffs"])
def test_a_missing_required_setting_is_named_in_the_error(key: str) -> None:
    with pytest.raises(ValueError, match=key):
        read_settings(json.dumps({name: value for name, value in PARAMS.items() if name != key}))


@pytest.mark.parametrize(
    ("key", "value", "name"),
    [
        ("Me", "x", "Me"),
        ("Me", 9, "me"),
        ("Classes", [{}], "OnTimeNs"),
        ("Rules", {"ColdFrom": 0}, "cold_from"),
    ],
)
def test_an_invalid_setting_is_named_in_the_error(key: str, value: object, name: str) -> None:
    with pytest.raises(ValueError, match=name):
        read_settings(json.dumps(PARAMS | {key: value}))


def test_params_that_are_not_json_return_a_fault_with_a_text() -> None:
    reply = Host().answer(batch(1, 10**9, [launch_instance(3, b"{x")], b"{x"))
    assert records(reply)[0][0] == 100
    assert b"Params" in reply


def test_a_request_is_sent_to_the_listed_backend() -> None:
    reply = started_host(list_entry(77)).answer(batch(2, 2 * 10**9, [request_record(3, 900)]))
    sends = [record for record in records(reply) if record[0] == 10]
    assert [struct.unpack_from("<BIIQI", record) for record in sends] == [(10, 3, 900, 3 * 10**9, 77)]


def test_a_list_number_reused_within_a_batch_applies_in_order() -> None:
    host = started_host(list_entry(1))
    tail = list_entry(5) + list_entry(6)
    first = struct.pack("<BHII", 120, 4, 0, 1)
    second = struct.pack("<BHII", 120, 4, 23, 1)
    members = struct.pack("<BIBHI", 20, 3, 1, 4, 2)
    host.answer(batch(2, 2 * 10**9, [first, members, second], tail))
    servers = host.gateways[3].fleet.servers
    assert servers[5].state is api.BackendState.READY
    assert 6 not in servers


def test_every_event_code_is_accepted() -> None:
    host = started_host(list_entry(77))
    events = [
        request_record(3, 900),
        struct.pack("<BIIHIQ", 40, 3, 900, 0, 77, 5),
        struct.pack("<BIIHBHQHIBB4f", 50, 3, 900, 0, 0, 0, 5 * 10**6, 3, 77, 1, 2, 0.5, 7.0, 0, 0),
        struct.pack("<BII", 60, 3, 900),
        struct.pack("<BIQ", 70, 3, 12),
        struct.pack("<BIIBQB4f", 80, 3, 77, 0, 9, 0, 0, 0, 0, 0),
        struct.pack("<BIHII", 90, 3, 2, 0, 2),
        struct.pack("<BIQBfQ", 110, 3, 1, 0, 2.0, 9),
        struct.pack("<BIBHI", 20, 3, 3, 0, 9),
    ]
    reply = host.answer(batch(2, 2 * 10**9, events, b"hi"))
    assert not [record for record in records(reply) if record[0] == 100]
    assert struct.unpack_from("<I", reply)[0] == 2


def test_every_action_has_its_code_and_size() -> None:
    reply = _Reply(1)
    actions = [
        api.Send(1, 2, 3),
        api.Refuse(1, 5),
        api.Fail(1),
        api.Cancel(1, 0),
        api.SetTimer(5, 6),
        api.Probe(2),
        api.CloseIdle(2),
        api.SendPeerMessage(1, b"abc"),
        api.Log("text"),
        api.Watch(),
        api.FetchList(),
    ]
    for action in actions:
        reply.add(4, action)
    frame = reply.frame()
    assert [record[0] for record in records(frame)] == [10, 20, 30, 40, 50, 60, 70, 80, 90, 110, 120]
    assert frame.endswith(b"abctext")
    assert struct.unpack_from("<I", frame, 4)[0] == len(frame)


def test_a_killed_instance_keeps_no_state() -> None:
    host = started_host(list_entry(77))
    reply = host.answer(batch(2, 2 * 10**9, [request_record(3, 900), struct.pack("<BI", 100, 3)]))
    assert records(reply) == []
    assert host.gateways == {}


def test_an_exception_in_a_decision_returns_a_fault_with_its_text(monkeypatch: pytest.MonkeyPatch) -> None:
    host = started_host(list_entry(77))

    def broken(now: int, events: object) -> None:
        raise RuntimeError("no idea")

    monkeypatch.setattr(host.gateways[3], "handle", broken)
    reply = host.answer(batch(2, 2 * 10**9, [request_record(3, 900)]))
    assert records(reply)[0][0] == 100
    assert b"RuntimeError: no idea" in reply


@pytest.mark.parametrize(
    "frame",
    [
        batch(1, 1, [])[:-3],
        struct.pack("<IIQI", 1, 20, 1, 4),
        batch(1, 1, [bytes([250])]),
        batch(1, 1, [launch_instance(1, b"xx", 9)]),
        struct.pack("<II", 1, 3),
        b"\1\2",
    ],
)
def test_a_malformed_frame_prints_one_line_and_returns_an_exit_code(
    frame: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    output = io.BytesIO()
    assert serve(io.BytesIO(frame), output) == 1
    assert output.getvalue() == b""
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_a_record_count_beyond_the_frame_raises() -> None:
    with pytest.raises(FrameError):
        Host().answer(struct.pack("<IIQI", 1, 20, 1, 2))


def test_the_process_answers_a_frame_and_exits_at_end_of_input() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "pepperrun.wirehost"], input=batch(1, 5, []), capture_output=True, check=True
    )
    assert completed.stdout.hex() == "010000000c00000000000000"
    assert completed.stderr == b""
