"""Catching up after many changes: random faults, truncated transfers, file size, and older disk formats."""

from __future__ import annotations

import json
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from test_state import format_0_records, migrate_from_format_0
from test_storage import CONTACTS, ME, disk_with_accepted_value

from pepperrun.consensus.messages import BodyDelta, CatchUpRequest, Chosen
from pepperrun.consensus.register import Register
from pepperrun.consensus.state import Ballot, Proposal, digest_of
from pepperrun.consensus.timeouts import MS
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.netstring import Decoder, compress, encode
from pepperrun.simulation.catch_up_days import EARLY_READS, HALF_BODY, Day, HoardingStore
from pepperrun.simulation.order_plans import mark
from pepperrun.storage import formats, records
from pepperrun.storage.store import DATA_FILE, DiskStore


def test_random_fault_schedules_of_an_absent_node() -> None:
    broken = {seed: wrong for seed in range(1, 13) if (wrong := Day(seed).play())}
    assert not broken


@pytest.mark.parametrize(
    ("bug", "seed", "failure"), [(EARLY_READS, 1, "newest"), (HALF_BODY, 3, "two bodies")]
)
def test_injected_bugs_of_catching_up_are_found(bug: str, seed: int, failure: str) -> None:
    assert failure in Day(seed, bug).play()


@pytest.mark.parametrize("compressed", [False, True])
def test_a_truncated_full_body_is_never_decoded(compressed: bool) -> None:
    rng = random.Random(1)
    body = {"routes": {f"r{at}": {"name": f"r{at}", "x": rng.random()} for at in range(60)}}
    message = {"k": "queen", "m": {"t": "chosen", "b": [1, "x"], "w": body}}
    frame = compress(encode(message)) if compressed else encode(message)
    for cut in range(len(frame)):
        assert Decoder().feed(frame[:cut]) == []  # a new link starts with a new decoder
    assert Decoder().feed(frame) == [message]
    for cut in (1, len(frame) // 2, len(frame) - 1):
        decoder = Decoder()
        assert decoder.feed(frame[:cut]) == [] and decoder.feed(frame[cut:]) == [message]
    damaged = bytearray(frame)
    damaged[len(frame) // 2 : len(frame) // 2 + 8] = bytes(8)
    with pytest.raises(PepperrunError, match="bad-frame"):
        Decoder().feed(bytes(damaged))


def test_one_peer_is_asked_at_a_time_and_the_next_after_a_time_out(tmp_path: Path) -> None:
    state = disk_with_accepted_value(tmp_path)
    one = Register(ME, state, DiskStore(str(tmp_path), 64), mark, seed=1, now=0)
    requests: list[tuple[int, str]] = []
    for ms in range(0, 6000, 50):
        one.now = ms * MS
        one.request_catch_up(CONTACTS[ms // 50 % 2 + 1])
        requests += [(ms, ip) for ip, message in one.outbox if isinstance(message, CatchUpRequest)]
        one.outbox.clear()
    assert [ms for ms, _ in requests] == [0, 200, 600, 1400, 3000, 4600]
    assert {ip for _, ip in requests} <= set(CONTACTS[1:])


def file_sizes(folder: Path, make: type[DiskStore], saves: int) -> list[int]:
    """Return the bytes of the data file after each save of a new body, some of them long."""
    rng, disk, sizes = random.Random(2), make(str(folder), 64), list[int]()
    state = disk.load_or_create("s", ME, CONTACTS)
    assert state.chosen is not None
    for number in range(1, saves + 1):
        body = {"number": number, "fill": "x" * rng.choice([500, 40_000, 40_300, 300_000])}
        value = replace(state.chosen.value, version=number, digest=digest_of(body))
        state.accepted = Proposal(Ballot(number, "x"), value, body)
        if number % 3:
            state.chosen = state.accepted
        disk.save(state)
        sizes.append((folder / DATA_FILE).stat().st_size)
    disk.close()
    return sizes


def test_the_file_does_not_grow_with_hundreds_of_changes(tmp_path: Path) -> None:
    sizes = file_sizes(tmp_path / "a", DiskStore, 300)
    assert sizes[-1] <= 1.5 * sizes[60] and sizes[-1] < 6 * 300_000
    record_names = records.RECORD_NAMES
    raw = DiskStore(str(tmp_path / "a"), 64)
    raw.load()
    assert raw._environment is not None
    with raw._environment.begin() as transaction:
        names = [bytes(key).decode() for key, _ in transaction.cursor()]
    assert (
        sorted(name for name in names if name in record_names) == sorted(record_names)
        and len(names) <= len(record_names) + 2
    )


def test_a_store_that_keeps_old_bodies_is_detected(tmp_path: Path) -> None:
    sizes = file_sizes(tmp_path, HoardingStore, 60)
    assert sizes[-1] > 4 * sizes[10]


def test_a_disk_of_an_older_format_is_migrated_and_catches_up(tmp_path: Path, monkeypatch: Any) -> None:
    disk = DiskStore(str(tmp_path), 64)
    state = disk.load_or_create("s", ME, CONTACTS)
    body, ops = {"m": ["0"]}, [{"m": str(at)} for at in range(1, 40)]
    assert state.chosen is not None
    value = replace(state.chosen.value, version=1, digest=digest_of(body))
    state.accepted = state.chosen = Proposal(Ballot(1, "x"), value, body)
    state.promised = Ballot(7, "y")
    disk.save(state)
    disk.close()
    raw = format_0_records(tmp_path)
    with DiskStore(str(tmp_path), 64)._open() as env, env.begin(write=True) as transaction:
        for key in [bytes(key) for key in transaction.cursor().iternext(values=False)]:
            transaction.delete(key)
        for name, data in raw.items():
            transaction.put(name, data)
    monkeypatch.setitem(formats.MIGRATIONS, 0, migrate_from_format_0)
    disk = DiskStore(str(tmp_path), 64)
    back = disk.load_or_create("s", ME, [])
    assert back.disk_id == state.disk_id and back.promised == Ballot(7, "y") and back.chosen == state.chosen
    register = Register(ME, back, disk, mark, seed=1, now=0)
    new = {"m": [str(at) for at in range(40)]}
    value = replace(value, version=40, digest=digest_of(new))
    register.receive(CONTACTS[1], Chosen(Ballot(40, "x"), value, BodyDelta(digest_of(body), ops)), 1)
    register.flush(include_deferred=True)
    disk.close()
    again = DiskStore(str(tmp_path), 64).load_or_create("s", ME, [])
    assert again.chosen is not None and json.dumps(again.chosen.body) == json.dumps(new)
    assert [change.version for change in register.changes] == [*range(2, 41)]
