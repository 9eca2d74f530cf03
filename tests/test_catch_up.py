"""Back after many changes: drawn days, transfers cut at every step, the disk's length, older formats."""

from __future__ import annotations

import json
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from test_state import apart, older
from test_storage import CONTACTS, ME, filled

from pepperrun.consensus.messages import BodyDelta, CatchUpRequest, Chosen
from pepperrun.consensus.register import Register
from pepperrun.consensus.state import Ballot, Proposal, digest_of
from pepperrun.consensus.timeouts import MS
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.netstring import Decoder, encode, packed
from pepperrun.simulation.catch_up_days import EARLY_READS, HALF_BODY, Day, HoardingStore
from pepperrun.simulation.order_plans import mark
from pepperrun.storage import formats, records
from pepperrun.storage.store import DATA_FILE, DiskStore


def test_drawn_days_of_a_machine_that_was_away() -> None:
    broken = {seed: wrong for seed in range(1, 13) if (wrong := Day(seed).play())}
    assert not broken


@pytest.mark.parametrize(("bug", "seed", "told"), [(EARLY_READS, 1, "newest"), (HALF_BODY, 3, "two bodies")])
def test_bugs_of_catching_up_that_are_put_in_are_found(bug: str, seed: int, told: str) -> None:
    assert told in Day(seed, bug).play()


@pytest.mark.parametrize("deflated", [False, True])
def test_a_whole_body_cut_anywhere_on_its_way_is_no_body(deflated: bool) -> None:
    dice = random.Random(1)
    body = {"routes": {f"r{at}": {"name": f"r{at}", "x": dice.random()} for at in range(60)}}
    message = {"k": "queen", "m": {"t": "chosen", "b": [1, "x"], "w": body}}
    frame = packed(encode(message)) if deflated else encode(message)
    for cut in range(len(frame)):
        assert Decoder().feed(frame[:cut]) == []  # the next link begins with a decoder of its own
    assert Decoder().feed(frame) == [message]
    for cut in (1, len(frame) // 2, len(frame) - 1):
        decoder = Decoder()
        assert decoder.feed(frame[:cut]) == [] and decoder.feed(frame[cut:]) == [message]
    torn = bytearray(frame)
    torn[len(frame) // 2 : len(frame) // 2 + 8] = bytes(8)
    with pytest.raises(PepperrunError, match="bad-frame"):
        Decoder().feed(bytes(torn))


def test_one_machine_is_asked_at_a_time_and_another_where_it_says_nothing(tmp_path: Path) -> None:
    memory = filled(tmp_path)
    one = Register(ME, memory, DiskStore(str(tmp_path), 64), mark, seed=1, now=0)
    asked: list[tuple[int, str]] = []
    for ms in range(0, 6000, 50):
        one.now = ms * MS
        one.request_catch_up(CONTACTS[ms // 50 % 2 + 1])
        asked += [(ms, ip) for ip, message in one.outbox if isinstance(message, CatchUpRequest)]
        one.outbox.clear()
    assert [ms for ms, _ in asked] == [0, 200, 600, 1400, 3000, 4600]
    assert {ip for _, ip in asked} <= set(CONTACTS[1:])


def saved(folder: Path, make: type[DiskStore], saves: int) -> list[int]:
    """Bytes of the file after each save of another body, some of them long."""
    dice, disk, sizes = random.Random(2), make(str(folder), 64), list[int]()
    memory = disk.load_or_create("s", ME, CONTACTS)
    assert memory.chosen is not None
    for number in range(1, saves + 1):
        body = {"number": number, "fill": "x" * dice.choice([500, 40_000, 40_300, 300_000])}
        value = replace(memory.chosen.value, version=number, digest=digest_of(body))
        memory.accepted = Proposal(Ballot(number, "x"), value, body)
        if number % 3:
            memory.chosen = memory.accepted
        disk.save(memory)
        sizes.append((folder / DATA_FILE).stat().st_size)
    disk.close()
    return sizes


def test_the_disk_is_no_longer_after_hundreds_of_changes_than_after_some(tmp_path: Path) -> None:
    sizes = saved(tmp_path / "a", DiskStore, 300)
    assert sizes[-1] <= 1.5 * sizes[60] and sizes[-1] < 6 * 300_000
    kept = records.RECORD_NAMES
    raw = DiskStore(str(tmp_path / "a"), 64)
    raw.load()
    assert raw._environment is not None
    with raw._environment.begin() as transaction:
        names = [bytes(key).decode() for key, _ in transaction.cursor()]
    assert sorted(name for name in names if name in kept) == sorted(kept) and len(names) <= len(kept) + 2


def test_a_disk_that_keeps_old_bodies_is_found(tmp_path: Path) -> None:
    sizes = saved(tmp_path, HoardingStore, 60)
    assert sizes[-1] > 4 * sizes[10]


def test_a_disk_of_an_older_format_comes_back_and_goes_on_with_the_changes_since(
    tmp_path: Path, monkeypatch: Any
) -> None:
    disk = DiskStore(str(tmp_path), 64)
    memory = disk.load_or_create("s", ME, CONTACTS)
    body, ops = {"m": ["0"]}, [{"m": str(at)} for at in range(1, 40)]
    assert memory.chosen is not None
    value = replace(memory.chosen.value, version=1, digest=digest_of(body))
    memory.accepted = memory.chosen = Proposal(Ballot(1, "x"), value, body)
    memory.promised = Ballot(7, "y")
    disk.save(memory)
    disk.close()
    raw = older(tmp_path)
    with DiskStore(str(tmp_path), 64)._open() as env, env.begin(write=True) as transaction:
        for key in [bytes(key) for key in transaction.cursor().iternext(values=False)]:
            transaction.delete(key)
        for name, data in raw.items():
            transaction.put(name, data)
    monkeypatch.setitem(formats.MIGRATIONS, 0, apart)
    disk = DiskStore(str(tmp_path), 64)
    back = disk.load_or_create("s", ME, [])
    assert back.disk_id == memory.disk_id and back.promised == Ballot(7, "y") and back.chosen == memory.chosen
    one = Register(ME, back, disk, mark, seed=1, now=0)
    new = {"m": [str(at) for at in range(40)]}
    value = replace(value, version=40, digest=digest_of(new))
    one.receive(CONTACTS[1], Chosen(Ballot(40, "x"), value, BodyDelta(digest_of(body), ops)), 1)
    one.flush(include_deferred=True)
    disk.close()
    again = DiskStore(str(tmp_path), 64).load_or_create("s", ME, [])
    assert again.chosen is not None and json.dumps(again.chosen.body) == json.dumps(new)
    assert [change.version for change in one.changes] == [*range(2, 41)]
