"""The disk of a control node: the state that is loaded is the one that was saved, or none at all."""

from __future__ import annotations

import json
import os
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import lmdb
import pytest
from clusters import configuration, replace_op

from pepperrun.consensus.canonical_json import CachedJsonEncoder
from pepperrun.consensus.state import FIRST_DISK_ID, Ballot, DurableState, Proposal, digest_of
from pepperrun.control.changes import apply
from pepperrun.foundation.errors import PepperrunError
from pepperrun.operator.state import restore, write_export
from pepperrun.storage.store import DiskStore

ME, CONTACTS = "10.0.0.1", ["10.0.0.1", "10.0.0.2", "10.0.0.3"]


def disk_with_accepted_value(folder: Path, size: int = 300_000) -> DurableState:
    """Save and return a state with an accepted value that is not known as chosen; the disk is closed."""
    disk = DiskStore(str(folder), 64)
    state = disk.load_or_create("s", ME, CONTACTS)
    assert state.chosen is not None
    body = {"routes": "é" * (size // 2)}
    value = replace(state.chosen.value, version=1, digest=digest_of(body))
    state.promised = Ballot(3, "x")
    state.accepted = Proposal(Ballot(3, "x"), value, body)
    disk.save(state)
    disk.close()
    return state


def test_saved_state_is_loaded_and_starts_are_counted(tmp_path: Path) -> None:
    state = disk_with_accepted_value(tmp_path)
    for starts in (2, 3):
        disk = DiskStore(str(tmp_path), 64)
        # The setting first_run may still be true.
        assert disk.load_or_create("s", ME, CONTACTS) == replace(state, starts=starts)
        disk.close()


def test_only_a_first_contact_with_an_empty_disk_starts_as_a_first_voter(tmp_path: Path) -> None:
    states = [
        DiskStore(str(tmp_path / str(at))).load_or_create("s", me, contacts)
        for at, (me, contacts) in enumerate([(ME, CONTACTS), ("10.0.0.4", CONTACTS), (ME, []), (ME, [])])
    ]
    assert states[0].disk_id == FIRST_DISK_ID and states[0].chosen == states[0].accepted is not None
    assert all(one.chosen is None and one.disk_id != FIRST_DISK_ID for one in states[1:])
    assert len({one.disk_id for one in states}) == 4


def test_a_file_without_any_record_counts_as_an_empty_disk(tmp_path: Path) -> None:
    lmdb.open(str(tmp_path), lock=False).close()
    assert (tmp_path / "data.mdb").exists()
    assert DiskStore(str(tmp_path)).load_or_create("s", ME, CONTACTS).disk_id == FIRST_DISK_ID


@pytest.mark.parametrize("where", ["head", "body", "record", "lost record"])
def test_a_damaged_disk_ends_its_incarnation(tmp_path: Path, where: str) -> None:
    state = disk_with_accepted_value(tmp_path)
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
    assert again.disk_id not in (state.disk_id, FIRST_DISK_ID)
    assert again.chosen is None and again.accepted is None and again.starts == 1
    disk.close()
    assert DiskStore(str(tmp_path), 64).load_or_create("s", ME, []).disk_id == again.disk_id


def test_a_promise_does_not_write_the_body_again(tmp_path: Path) -> None:
    disk_with_accepted_value(tmp_path)
    disk = DiskStore(str(tmp_path), 64)
    state = disk.load_or_create("s", ME, [])
    written: list[int] = []
    saved_before = disk._saved.copy()
    state.promised, state.chosen = Ballot(4, "y"), state.accepted
    disk.save(state)
    env = disk._environment
    assert env is not None
    with env.begin() as transaction:
        bodies = [key for key, _ in transaction.cursor() if bytes(key).startswith(b"body:")]
        written += [transaction.stat()["overflow_pages"]]
    # The first body was deleted with the value that named it; the other one was not written again.
    assert len(bodies) == 1 and written[0] <= 300_000 // 4096 + 2 and saved_before != disk._saved
    assert env.info()["map_size"] == 32 * 1024 * 1024


def test_after_a_failed_save_all_records_are_written_again(tmp_path: Path) -> None:
    disk = DiskStore(str(tmp_path), 1)  # half of this is the size of the lmdb map
    state = disk.load_or_create("s", ME, CONTACTS)
    assert state.chosen is not None
    small = state.accepted
    body = {"fill": "x" * 1_000_000}
    state.accepted = Proposal(
        Ballot(1, "x"), replace(state.chosen.value, version=1, digest=digest_of(body)), body
    )
    with pytest.raises(PepperrunError, match="disk-failed"):
        disk.save(state)
    state.accepted, state.promised = small, Ballot(9, "z")
    disk.save(state)
    disk.close()
    assert DiskStore(str(tmp_path), 1).load_or_create("s", ME, []).promised == Ballot(9, "z")


@pytest.mark.parametrize("error", [lmdb.DiskError("full"), lmdb.Error("x: Input/output error")])
def test_a_disk_that_is_temporarily_unreadable_keeps_its_state(
    tmp_path: Path, monkeypatch: Any, error: Exception
) -> None:
    state = disk_with_accepted_value(tmp_path)

    def fail(*args: Any, **options: Any) -> None:
        raise error

    with monkeypatch.context() as patch:
        patch.setattr(lmdb, "open", fail)
        with pytest.raises(PepperrunError, match="disk-failed"):
            DiskStore(str(tmp_path), 64).load_or_create("s", ME, [])
    assert DiskStore(str(tmp_path), 64).load_or_create("s", ME, []).disk_id == state.disk_id


def test_a_change_encodes_only_the_items_that_it_changed() -> None:
    rng = random.Random(4)
    encoders = {True: CachedJsonEncoder(True), False: CachedJsonEncoder(False)}
    body: dict[str, Any] = {
        "routes": {f"r{at}": {"name": f"r{at}", "x": [at, '\u00e9"'], "a": {}} for at in range(500)},
        **{"edition": 1, "evacuated": ["b", "a"], "limits": {}, "zz": {"x": 1}, "senders": {}},
    }
    for step in range(20):
        for sort, encoder in encoders.items():
            before = encoder.encoded_items
            assert encoder.encode(body) == json.dumps(
                body, separators=(",", ":"), sort_keys=sort, ensure_ascii=False
            )
            assert encoder.encoded_items - before <= (2 if step else 501)
        rows = dict(body["routes"])
        rows[f"r{rng.randrange(500)}"] = {"name": "other", "b": step}
        rows[f"m{step}"] = rows.pop(f"r{400 + step}", {})  # the same object under another name
        body = body | {"routes": rows, "edition": step + 2}


def test_a_restored_configuration_is_never_readable_for_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against tenants' keys in a file that its creation leaves open to all until its mode is narrowed.
    body, _ = apply(None, replace_op(configuration()))
    assert body is not None
    state = disk_with_accepted_value(tmp_path / "first")
    assert state.chosen is not None
    chosen = Proposal(Ballot(3, "x"), replace(state.chosen.value, version=1, digest=digest_of(body)), body)
    write_export(tmp_path / "export", DurableState("d", 1, chosen=chosen), ME, False)

    def narrow_nothing(*arguments: Any, **named: Any) -> None:
        """Stands in for a change of mode that comes late."""

    for name in ("chmod", "fchmod"):
        monkeypatch.setattr(os, name, narrow_nothing)
    monkeypatch.setattr(Path, "chmod", narrow_nothing)
    old = os.umask(0)
    try:
        restore(tmp_path / "disk", tmp_path / "export", False)
        write_export(tmp_path / "again", DurableState("d", 1, chosen=chosen), ME, False)
    finally:
        os.umask(old)
    for path in (tmp_path / "disk" / "timetable-3.json", tmp_path / "again"):
        assert path.stat().st_mode & 0o777 == 0o600 and "k1" in path.read_text()
