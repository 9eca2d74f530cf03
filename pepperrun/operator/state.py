"""Shows, checks, exports and restores the durable state of a control node on its disk.

A voter must never forget what it promised: the same disk id (`life` in the output) with an older state could
promise a second time, and two majorities could choose two values. So an export is only a copy. A folder
restored from it gets a new disk id, without a promise, a vote or a chosen value, and the other control nodes
have to admit it as a voter. The configuration is written beside it as a file for `put`. The chosen value is
not restored either: if the export came from another system, this system would take its value for a newer
state.
A disk id moves completely or not at all: `export --retire` ends it in the folder, and only the file written
by that command restores a folder with the same disk id, and only once.
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
from typing import IO, Any

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
READ_ATTEMPTS = 3  # for a folder that a running process writes to
STEP = "state"


def raw_records(folder: Path) -> dict[bytes, bytes]:
    """Returns all records as stored, and writes nothing.

    Raises PepperrunError `no-state` or `disk-doubtful`.
    """
    if not (folder / DATA_FILE).is_file():
        raise PepperrunError("no-state", STEP, f"{folder}: the folder contains no {DATA_FILE}")
    try:
        with (
            lmdb.open(str(folder), readonly=True, lock=False, create=False) as env,
            env.begin() as transaction,
        ):
            return {bytes(key): bytes(data) for key, data in transaction.cursor()}
    except (lmdb.Error, OSError) as error:
        raise PepperrunError("disk-doubtful", STEP, f"{folder}: {type(error).__name__}: {error}") from None


def read_and_check(folder: Path) -> tuple[dict[bytes, bytes], list[str]]:
    """Returns the records and their problems.

    A folder in use may change while it is read, so problems are reported only if they persist over all
    attempts.
    """
    for _ in range(READ_ATTEMPTS):
        raw = raw_records(folder)
        found = find_problems(raw)
        if not found:
            break
    return raw, found


def processes_using(folder: Path) -> list[int]:
    """Returns the ids of the processes on this machine with the data file open, if this user may see them."""
    data_file, found = (folder / DATA_FILE).resolve(), []
    for process in Path("/proc").glob("[0-9]*"):
        with contextlib.suppress(OSError):
            if any(Path(os.readlink(fd)) == data_file for fd in (process / "fd").iterdir()):
                found.append(int(process.name))
    return found


def summary(folder: Path) -> list[str]:
    """Returns the lines that `state show` prints."""
    raw, found = read_and_check(folder)
    size = (folder / DATA_FILE).stat().st_size
    lines = [f"file: {size} bytes, {len(raw)} records of {sum(map(len, raw.values()))} bytes"]
    if found:
        return lines + [f"fault: {problem}" for problem in found]
    identity = decode_record(raw[b"life"], "life")
    state = read_state(raw)
    lines += [
        f"format: {identity[0]}",
        f"machine: {owner_of(identity) or 'none yet'}",
        f"life: {state.disk_id}, starts {state.starts}",
    ]
    lines.append(f"promised: round {state.promised.round} by {state.promised.proposer or 'nobody'}")
    for name, proposal in (("taken", state.accepted), ("chosen", state.chosen)):
        if proposal is None:
            lines.append(f"{name}: nothing")
            continue
        value = proposal.value
        text = f"number {value.version}, edition {proposal.body.get('edition', 0)}, body {value.digest}"
        size = len(raw[(BODY_PREFIX + value.digest).encode()])
        lines.append(
            f"{name}: {text} of {size} bytes, "
            f"round {proposal.ballot.round} by {proposal.ballot.proposer or '-'}"
        )
        lines.append("  voters: " + ", ".join(f"{ip} ({disk_id})" for ip, disk_id in value.voters))
        if value.outgoing_voters:
            lines.append(
                "  leaving voters: " + ", ".join(f"{ip} ({disk_id})" for ip, disk_id in value.outgoing_voters)
            )
        lines.append(f"  keeper: {value.coordinator}")
    return lines


# Export files.


def _checksum(content: Any) -> str:
    encoded = json.dumps(content, separators=(",", ":"), sort_keys=True, ensure_ascii=False)
    return hashlib.blake2b(encoded.encode(), digest_size=16).hexdigest()


def open_private(path: Path) -> IO[str]:
    """Creates a file that holds tenants' keys, in place of any other; only its owner may read it."""
    path.unlink(missing_ok=True)  # an existing file would keep its mode
    return os.fdopen(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w")


def write_export(path: Path, state: DurableState, owner: str, final: bool) -> None:
    """Writes and syncs the export, and replaces the previous file atomically.

    `final` marks a file whose disk id was retired in its folder.
    """
    records, bodies = to_records(state, owner)
    content = {"kind": KIND, "final": final, "records": records, "bodies": bodies}
    content = json.loads(json.dumps(content))
    temporary = path.with_name(path.name + ".new")
    with open_private(temporary) as file:
        json.dump(content | {"checksum": _checksum(content)}, file, ensure_ascii=False)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    _sync_folder(path.parent)


def read_export(path: Path) -> tuple[DurableState, str, bool]:
    """Returns the state, the ip of its owner, and whether the disk id was retired in the exported folder.

    Raises PepperrunError `bad-export` or `no-file`.
    """
    try:
        content = json.loads(path.read_text())
        checksum = content.pop("checksum")
        if checksum != _checksum(content) or content["kind"] != KIND:
            raise PepperrunError(
                "bad-export",
                STEP,
                f"{path}: the checksum does not match the content, or the file is not an export of a state",
            )
        state = from_records(content["records"] | content["bodies"])
        return state, owner_of(content["records"]["life"]), content["final"] is True
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
    """Writes the state of a folder to a file.

    `retire` then ends the disk id in the folder and marks the file as the only copy of it. Raises
    PepperrunError `in-use`, `disk-doubtful` or `no-owner`.
    """
    users = processes_using(folder)
    if users and retire:
        raise PepperrunError(
            "in-use", STEP, f"{folder} is open in process {users[0]}: stop that process first"
        )
    raw, found = read_and_check(folder)
    if found:
        raise PepperrunError("disk-doubtful", STEP, f"{folder}: {found[0]}")
    state, owner = read_state(raw), owner_of(decode_record(raw[b"life"], "life"))
    if retire and not owner:
        raise PepperrunError(
            "no-owner",
            STEP,
            f"{folder}: the state names no owner yet; start the control node once with this version",
        )
    write_export(path, state, owner, False)
    if retire:
        # A power failure between any two of these steps leaves the disk id in one place or in none.
        _save_state(folder, DurableState(new_disk_id(str(folder)), 0), owner)
        write_export(path, state, owner, True)


def restore(folder: Path, path: Path, keep_disk_id: bool) -> str:
    """Creates a folder from an export and returns a sentence on its content.

    Raises PepperrunError `not-empty` or `not-safe`, and the errors of `read_export`.
    """
    state, owner, final = read_export(path)
    if folder.exists() and any(folder.iterdir()):
        raise PepperrunError(
            "not-empty", STEP, f"{folder} is not empty: its promises must not be overwritten"
        )
    if keep_disk_id and not final:
        detail = "the disk id may have made further promises since, or is in use elsewhere: only a file "
        detail += "that `export --retire` wrote and that was not restored yet may keep its disk id"
        raise PepperrunError("not-safe", STEP, f"{path}: {detail}")
    folder.mkdir(parents=True, exist_ok=True)
    if keep_disk_id:
        # Marks the file as used first: a disk id must never exist twice.
        write_export(path, state, owner, False)
        _save_state(folder, state, owner)
        return f"{folder}: disk id {state.disk_id} continues here, on the machine {owner} only"
    disk_id = new_disk_id(str(path))
    _save_state(folder, DurableState(disk_id, 0), "")
    text = f"{folder}: new disk id {disk_id}; it has no vote until the other control nodes admit it"
    if state.chosen is None or "edition" not in state.chosen.body:
        return text
    configuration_file = folder / f"timetable-{state.chosen.body['edition']}.json"
    with open_private(configuration_file) as file:
        json.dump(encode_configuration(state.chosen.body), file, ensure_ascii=False)
    return f"{text}; the configuration is in {configuration_file.name}, for reading or for `put`"


def _save_state(folder: Path, state: DurableState, owner: str) -> None:
    disk = DiskStore(str(folder))
    disk.owner = owner
    try:
        disk.save(state)
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
        found = [f"The data file can't be opened: {error.detail}."]
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
    text = "show, check, export or restore the durable state of a control node"
    top = commands.add_parser("state", help=text, description=f"{text}. {__doc__}")
    kinds = top.add_subparsers(dest="kind", required=True, metavar="WHAT")

    def add(name: str, handler: Callable[[argparse.Namespace], int], text: str, has_file: bool) -> Any:
        parser = kinds.add_parser(name, help=text, description=text)
        parser.add_argument("folder", type=Path, metavar="FOLDER", help="store_dir of a control node")
        if has_file:
            parser.add_argument("file", type=Path, metavar="FILE", help="the export (contains tenants' keys)")
        parser.set_defaults(does=handler)
        return parser

    add("show", _show, "print a summary of the folder", False)
    add(
        "check", _check, "verify each checksum and digest; exit code 1 and one sentence for each fault", False
    )
    parser = add("export", _export, "write the complete state to one JSON file with a checksum", True)
    text = "end the disk id in the folder, so that it may continue elsewhere (the process must be stopped)"
    parser.add_argument("--retire", action="store_true", help=text)
    text = "fill an empty folder: a new disk id without a vote, the configuration beside it as a file"
    parser = add("restore", _restore, text, True)
    text = "keep the disk id: only from a file that `export --retire` wrote, only once, at the same ip. "
    text += (
        "Any other file may be older than the promises of this disk id, and agreement could break; make no "
    )
    text += "copies of a retired file"
    parser.add_argument("--same-life", action="store_true", help=text)
