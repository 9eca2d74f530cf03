"""State of a core machine on its disk: shown, checked, written to one file, brought back where that is safe.

What a voter promised must never be forgotten: the same life with an older memory could promise a second time,
and two majorities could choose two things. So a file is only ever a copy, and a folder made from it is a new
life that the others let in, with nothing voted and nothing known; the configuration lies beside it as a file
for `put`. Nor is what was chosen put back as known: a file of another system would be taken for news here.
A life moves whole or not at all: `export --retire` ends it in the folder, and only such a file, once, makes a
folder of the same life again.
"""

from __future__ import annotations

import argparse
import contextlib
import hashlib
import json
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import lmdb

from pepperrun.consensus.state import DurableState
from pepperrun.control.changes import encode_configuration
from pepperrun.foundation.errors import PepperrunError
from pepperrun.storage.records import (
    BODY_PREFIX,
    decode_record,
    find_problems,
    from_records,
    owner_of,
    read_state,
    to_records,
)
from pepperrun.storage.store import DATA_FILE, DiskStore, new_disk_id

KIND = "pepperrun-state"
TRIES = 3  # of a look at a folder that a running process writes to
STEP = "state"


def raw_records(folder: Path) -> dict[bytes, bytes]:
    """All records as they lie there; nothing is written. PepperrunError `no-state`, `disk-doubtful`."""
    if not (folder / DATA_FILE).is_file():
        raise PepperrunError("no-state", STEP, f"{folder}: there is no {DATA_FILE}")
    try:
        with (
            lmdb.open(str(folder), readonly=True, lock=False, create=False) as env,
            env.begin() as transaction,
        ):
            return {bytes(key): bytes(data) for key, data in transaction.cursor()}
    except (lmdb.Error, OSError) as error:
        raise PepperrunError("disk-doubtful", STEP, f"{folder}: {type(error).__name__}: {error}") from None


def read_and_check(folder: Path) -> tuple[dict[bytes, bytes], list[str]]:
    """Records and faults. One that is in use may change under the look: faults count when they stay."""
    for _ in range(TRIES):
        raw = raw_records(folder)
        found = find_problems(raw)
        if not found:
            break
    return raw, found


def processes_using(folder: Path) -> list[int]:
    """Processes of this machine that have the file open, as far as this user may see them."""
    wanted, found = (folder / DATA_FILE).resolve(), []
    for one in Path("/proc").glob("[0-9]*"):
        with contextlib.suppress(OSError):
            if any(Path(os.readlink(fd)) == wanted for fd in (one / "fd").iterdir()):
                found.append(int(one.name))
    return found


def summary(folder: Path) -> list[str]:
    """What `show` prints."""
    raw, found = read_and_check(folder)
    size = (folder / DATA_FILE).stat().st_size
    lines = [f"file: {size} bytes, {len(raw)} records of {sum(map(len, raw.values()))} bytes"]
    if found:
        return lines + [f"fault: {one}" for one in found]
    life = decode_record(raw[b"life"], "life")
    memory = read_state(raw)
    lines += [
        f"format: {life[0]}",
        f"machine: {owner_of(life) or 'none yet'}",
        f"life: {memory.disk_id}, starts {memory.starts}",
    ]
    lines.append(f"promised: round {memory.promised.round} by {memory.promised.proposer or 'nobody'}")
    for name, held in (("taken", memory.accepted), ("chosen", memory.chosen)):
        if held is None:
            lines.append(f"{name}: nothing")
            continue
        value = held.value
        text = f"number {value.version}, edition {held.body.get('edition', 0)}, body {value.digest}"
        size = len(raw[(BODY_PREFIX + value.digest).encode()])
        lines.append(
            f"{name}: {text} of {size} bytes, round {held.ballot.round} by {held.ballot.proposer or '-'}"
        )
        lines.append("  voters: " + ", ".join(f"{ip} ({life})" for ip, life in value.voters))
        if value.outgoing_voters:
            lines.append(
                "  leaving voters: " + ", ".join(f"{ip} ({life})" for ip, life in value.outgoing_voters)
            )
        lines.append(f"  keeper: {value.coordinator}")
    return lines


# One file.


def _sum(content: Any) -> str:
    text = json.dumps(content, separators=(",", ":"), sort_keys=True, ensure_ascii=False)
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def write_export(path: Path, memory: DurableState, owner: str, final: bool) -> None:
    """The export, synced, in the place of what was there; never half of it."""
    records, bodies = to_records(memory, owner)
    content = {"kind": KIND, "final": final, "records": records, "bodies": bodies}
    content = json.loads(json.dumps(content))
    beside = path.with_name(path.name + ".new")
    with beside.open("w") as file:
        os.fchmod(file.fileno(), 0o600)  # it holds tenants' keys
        json.dump(content | {"checksum": _sum(content)}, file, ensure_ascii=False)
        file.flush()
        os.fsync(file.fileno())
    beside.replace(path)
    _sync_folder(path.parent)


def read_export(path: Path) -> tuple[DurableState, str, bool]:
    """The memory, its machine's ip, whether its life was ended there. Raises `bad-export`, `no-file`."""
    try:
        content = json.loads(path.read_text())
        told = content.pop("checksum")
        if told != _sum(content) or content["kind"] != KIND:
            raise PepperrunError("bad-export", STEP, f"{path}: the checksum is wrong")
        memory = from_records(content["records"] | content["bodies"])
        return memory, owner_of(content["records"]["life"]), content["final"] is True
    except OSError as error:
        raise PepperrunError("no-file", STEP, f"{path}: {error.strerror or error}") from None
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        raise PepperrunError("bad-export", STEP, f"{path}: {type(error).__name__}: {error}") from None


def _sync_folder(folder: Path) -> None:
    file = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(file)
    finally:
        os.close(file)


def export(folder: Path, path: Path, retire: bool) -> None:
    """Copies a memory; `retire` then ends its life in the folder, and marks the file as the only one."""
    users = processes_using(folder)
    if users and retire:
        raise PepperrunError("in-use", STEP, f"{folder} is open in process {users[0]}: stop it first")
    raw, found = read_and_check(folder)
    if found:
        raise PepperrunError("disk-doubtful", STEP, f"{folder}: {found[0]}")
    memory, owner = read_state(raw), owner_of(decode_record(raw[b"life"], "life"))
    if retire and not owner:
        raise PepperrunError(
            "no-owner", STEP, f"{folder}: it names no machine yet; start it once with this version"
        )
    write_export(path, memory, owner, False)
    if retire:
        # A power cut between any two of these steps leaves one life in one place, or none.
        _fill(folder, DurableState(new_disk_id(str(folder)), 0), owner)
        write_export(path, memory, owner, True)


def restore(folder: Path, path: Path, same_life: bool) -> str:
    """A folder from an export; says what it holds. PepperrunError `not-empty`, `not-safe`."""
    memory, owner, final = read_export(path)
    if folder.exists() and any(folder.iterdir()):
        raise PepperrunError(
            "not-empty", STEP, f"{folder} is not empty: nothing that was promised is overwritten"
        )
    if same_life and not final:
        detail = "its life may have promised more since, or goes on elsewhere: only a file that `export "
        detail += "--retire` wrote, and that was not yet used, may go on as the same life"
        raise PepperrunError("not-safe", STEP, f"{path}: {detail}")
    folder.mkdir(parents=True, exist_ok=True)
    if same_life:
        write_export(path, memory, owner, False)  # first: twice the same life must never be
        _fill(folder, memory, owner)
        return f"{folder}: life {memory.disk_id} goes on here, in the machine {owner} only"
    life = new_disk_id(str(path))
    _fill(folder, DurableState(life, 0), "")
    text = f"{folder}: new life {life}; it has no vote until the others let it in"
    if memory.chosen is None or "edition" not in memory.chosen.body:
        return text
    beside = folder / f"timetable-{memory.chosen.body['edition']}.json"
    beside.write_text(json.dumps(encode_configuration(memory.chosen.body), ensure_ascii=False))
    beside.chmod(0o600)
    return f"{text}; the configuration lies in {beside.name}, for reading or for `put`"


def _fill(folder: Path, memory: DurableState, owner: str) -> None:
    disk = DiskStore(str(folder))
    disk.owner = owner
    try:
        disk.save(memory)
        disk.sync_file_and_folder()
    finally:
        disk.close()


# The command.


def _show(options: argparse.Namespace) -> int:
    print("\n".join(summary(options.folder)))
    return 0


def _check(options: argparse.Namespace) -> int:
    try:
        _, found = read_and_check(options.folder)
    except PepperrunError as error:
        if error.code != "disk-doubtful":
            raise
        found = [f"It can't be opened: {error.detail}."]
    for sentence in found:
        print(sentence)
    if not found:
        print(f"{options.folder}: good")
    return int(bool(found))


def _export(options: argparse.Namespace) -> int:
    export(options.folder, options.file, options.retire)
    return 0


def _restore(options: argparse.Namespace) -> int:
    try:
        print(restore(options.folder, options.file, options.same_life))
    except PepperrunError as error:
        if error.code not in ("not-empty", "not-safe"):
            raise
        print(error.detail, file=sys.stderr)
        return 1
    return 0


def register(commands: Any) -> None:
    """Adds `state` to a command's subparsers."""
    text = "look at, copy or bring back what a core machine keeps on its disk"
    top = commands.add_parser("state", help=text, description=f"{text}. {__doc__}")
    kinds = top.add_subparsers(dest="kind", required=True, metavar="WHAT")

    def kind(name: str, does: Callable[[argparse.Namespace], int], said: str, file: bool) -> Any:
        one = kinds.add_parser(name, help=said, description=said)
        one.add_argument("folder", type=Path, metavar="FOLDER", help="store_dir of a core machine")
        if file:
            one.add_argument("file", type=Path, metavar="FILE", help="the export (it holds tenants' keys)")
        one.set_defaults(does=does)
        return one

    kind("show", _show, "say what the folder holds", False)
    kind(
        "check", _check, "verify each checksum and digest; exit code 1 with a sentence for each fault", False
    )
    one = kind("export", _export, "write it all to one JSON file with a checksum", True)
    said = "end the life in the folder, so that it may go on elsewhere (its process must have been stopped)"
    one.add_argument("--retire", action="store_true", help=said)
    said = "fill an empty folder: a new life without a vote, the configuration beside it as a file"
    one = kind("restore", _restore, said, True)
    said = (
        "go on as the same life: only from a file that `export --retire` wrote, only once, at the same ip. "
    )
    said += "Any other file may be older than what this life promised, and agreement could break; make no "
    said += "copies of a retired file"
    one.add_argument("--same-life", action="store_true", help=said)
