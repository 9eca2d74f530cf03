"""The disk of a core machine: what is read is what was saved, or nothing at all."""

from __future__ import annotations

import json
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import lmdb
import pytest

from pepperrun.consensus.canonical_json import CachedJsonEncoder
from pepperrun.consensus.state import FIRST_DISK_ID, Ballot, DurableState, Proposal, digest_of
from pepperrun.foundation.errors import PepperrunError
from pepperrun.storage.store import DiskStore

ME, CONTACTS = "10.0.0.1", ["10.0.0.1", "10.0.0.2", "10.0.0.3"]


def filled(folder: Path, size: int = 300_000) -> DurableState:
    """A machine that has taken a value, not known as chosen; its disk is closed."""
    disk = DiskStore(str(folder), 64)
    memory = disk.load_or_create("s", ME, CONTACTS)
    assert memory.chosen is not None
    body = {"routes": "é" * (size // 2)}
    value = replace(memory.chosen.value, version=1, digest=digest_of(body))
    memory.promised = Ballot(3, "x")
    memory.accepted = Proposal(Ballot(3, "x"), value, body)
    disk.save(memory)
    disk.close()
    return memory


def test_what_was_saved_is_there_and_starts_are_counted(tmp_path: Path) -> None:
    memory = filled(tmp_path)
    for starts in (2, 3):
        disk = DiskStore(str(tmp_path), 64)
        # The setting first_run may still be true.
        assert disk.load_or_create("s", ME, CONTACTS) == replace(memory, starts=starts)
        disk.close()


def test_only_a_first_contact_with_an_empty_disk_begins(tmp_path: Path) -> None:
    lives = [
        DiskStore(str(tmp_path / str(at))).load_or_create("s", me, contacts)
        for at, (me, contacts) in enumerate([(ME, CONTACTS), ("10.0.0.4", CONTACTS), (ME, []), (ME, [])])
    ]
    assert lives[0].disk_id == FIRST_DISK_ID and lives[0].chosen == lives[0].accepted is not None
    assert all(one.chosen is None and one.disk_id != FIRST_DISK_ID for one in lives[1:])
    assert len({one.disk_id for one in lives}) == 4


def test_a_file_that_never_got_its_first_record_is_an_empty_disk(tmp_path: Path) -> None:
    lmdb.open(str(tmp_path), lock=False).close()
    assert (tmp_path / "data.mdb").exists()
    assert DiskStore(str(tmp_path)).load_or_create("s", ME, CONTACTS).disk_id == FIRST_DISK_ID


@pytest.mark.parametrize("where", ["head", "body", "record", "lost record"])
def test_a_disk_in_doubt_ends_its_life(tmp_path: Path, where: str) -> None:
    memory = filled(tmp_path)
    file = tmp_path / "data.mdb"
    data = bytearray(file.read_bytes())
    if where == "head":
        data[: 2 * 4096] = bytes(2 * 4096)
    elif where == "body":
        at = data.rindex("é".encode() * 1000)
        data[at : at + 512] = bytes(512)
    elif where == "record":
        at = data.rindex(b'[3,"x"]')
        data[at + 1 : at + 2] = b"2"
    file.write_bytes(data)
    if where == "lost record":
        with lmdb.open(str(tmp_path), lock=False) as env, env.begin(write=True) as transaction:
            transaction.delete(b"promised")
    disk = DiskStore(str(tmp_path), 64)
    again = disk.load_or_create("s", ME, CONTACTS)
    assert again.disk_id not in (memory.disk_id, FIRST_DISK_ID)
    assert again.chosen is None and again.accepted is None and again.starts == 1
    disk.close()
    assert DiskStore(str(tmp_path), 64).load_or_create("s", ME, []).disk_id == again.disk_id


def test_a_promise_does_not_write_the_body_again(tmp_path: Path) -> None:
    filled(tmp_path)
    disk = DiskStore(str(tmp_path), 64)
    memory = disk.load_or_create("s", ME, [])
    written: list[int] = []
    seal = disk._saved.copy()
    memory.promised, memory.chosen = Ballot(4, "y"), memory.accepted
    disk.save(memory)
    env = disk._environment
    assert env is not None
    with env.begin() as transaction:
        bodies = [key for key, _ in transaction.cursor() if bytes(key).startswith(b"body:")]
        written += [transaction.stat()["overflow_pages"]]
    # The first body went with the value that named it; the other stayed where it was.
    assert len(bodies) == 1 and written[0] <= 300_000 // 4096 + 2 and seal != disk._saved
    assert env.info()["map_size"] == 32 * 1024 * 1024


def test_after_a_failure_all_is_written_anew(tmp_path: Path) -> None:
    disk = DiskStore(str(tmp_path), 1)  # of which half is the map's
    memory = disk.load_or_create("s", ME, CONTACTS)
    assert memory.chosen is not None
    small = memory.accepted
    body = {"fill": "x" * 1_000_000}
    memory.accepted = Proposal(
        Ballot(1, "x"), replace(memory.chosen.value, version=1, digest=digest_of(body)), body
    )
    with pytest.raises(PepperrunError, match="disk-failed"):
        disk.save(memory)
    memory.accepted, memory.promised = small, Ballot(9, "z")
    disk.save(memory)
    disk.close()
    assert DiskStore(str(tmp_path), 1).load_or_create("s", ME, []).promised == Ballot(9, "z")


@pytest.mark.parametrize("error", [lmdb.DiskError("full"), lmdb.Error("x: Input/output error")])
def test_a_disk_that_can_not_be_read_just_now_keeps_its_memory(
    tmp_path: Path, monkeypatch: Any, error: Exception
) -> None:
    memory = filled(tmp_path)

    def refuses(*args: Any, **options: Any) -> None:
        raise error

    with monkeypatch.context() as patch:
        patch.setattr(lmdb, "open", refuses)
        with pytest.raises(PepperrunError, match="disk-failed"):
            DiskStore(str(tmp_path), 64).load_or_create("s", ME, [])
    assert DiskStore(str(tmp_path), 64).load_or_create("s", ME, []).disk_id == memory.disk_id


def test_a_change_writes_the_text_of_what_it_changed() -> None:
    rng = random.Random(4)
    texts = {True: CachedJsonEncoder(True), False: CachedJsonEncoder(False)}
    body: dict[str, Any] = {
        "routes": {f"r{at}": {"name": f"r{at}", "x": [at, '\u00e9"'], "a": {}} for at in range(500)},
        **{"edition": 1, "evacuated": ["b", "a"], "limits": {}, "zz": {"x": 1}, "senders": {}},
    }
    for turn in range(20):
        for sort, one in texts.items():
            before = one.encoded_items
            assert one.encode(body) == json.dumps(
                body, separators=(",", ":"), sort_keys=sort, ensure_ascii=False
            )
            assert one.encoded_items - before <= (2 if turn else 501)
        rows = dict(body["routes"])
        rows[f"r{rng.randrange(500)}"] = {"name": "other", "b": turn}
        rows[f"m{turn}"] = rows.pop(f"r{400 + turn}", {})  # the same object under another name
        body = body | {"routes": rows, "edition": turn + 2}
