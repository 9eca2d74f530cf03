"""The disk of a core machine, on lmdb: what was promised, taken and chosen, each with a checksum.

Bodies are kept by their digests, apart from what names them: a promise or a change of voters writes some
hundred bytes, however long the configuration is. Each save is one transaction, synced when it returns.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
import secrets
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import lmdb

from pepperrun.foundation.errors import HiveError
from pepperrun.foundation.logs import event, trouble
from pepperrun.queen import messages
from pepperrun.queen.values import FIRST_LIFE, Body, Held, Memory, beginning, digest_of

FORMAT = 1
MOST_MB = 64  # of the map: some dozens of bodies, and the pages of transactions
CHECK = 16  # bytes of the checksum before each record
FILE = "data.mdb"


def _sealed(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=CHECK).digest() + data


def _opened(data: bytes, name: str) -> Any:
    if _sealed(data[CHECK:]) != data:
        raise HiveError("disk-doubtful", "reading", f"the checksum of {name} is wrong")
    try:
        return json.loads(data[CHECK:])
    except ValueError as error:
        raise HiveError("disk-doubtful", "reading", f"{name}: {error}") from None


def _dump(data: Any) -> bytes:
    return json.dumps(data, separators=(",", ":"), ensure_ascii=False).encode()


class Wax:
    """One folder. `disk_mb`: what the disk holds, 0 for no limit told."""

    def __init__(self, folder: str, disk_mb: float = 0) -> None:
        self.folder = Path(folder)
        self.size = int(min(MOST_MB, disk_mb / 2 if disk_mb else MOST_MB) * 1024 * 1024)
        self.env: lmdb.Environment | None = None
        self.saved: dict[bytes, Any] = {}  # by record, what it was made of

    def begin(self, station: str, me: str, first_contacts: Sequence[str]) -> Memory:
        """What is remembered, one start counted, all synced. On an empty disk a new life begins.

        `first_contacts`: ips, only where `first_run` is true, else none: who is among them, with an empty
        disk, begins as one of the first voters. A disk in doubt is emptied, and its life is over. One that a
        later version wrote is left alone: HiveError `disk-newer`.
        """
        doubtful = False
        try:
            memory = self._load()
        except HiveError as error:
            if error.code == "disk-newer":
                self.close()
                raise
            trouble(error)
            memory, doubtful = None, True
            self._empty()
        if memory is None:
            first = me in first_contacts and not doubtful
            memory = Memory(FIRST_LIFE if first else _new_life(station), 0)
            if first:
                memory.accepted = memory.chosen = beginning(first_contacts)
            event("new-life", station=station, life=memory.life, doubtful=doubtful)
        memory.starts += 1
        self.save(memory)
        self._sync_names()
        return memory

    def save(self, memory: Memory) -> None:
        """Syncs what differs from what was saved last; HiveError `disk-failed`.

        After a failure nobody knows what the disk has: the next save opens it anew and writes all.
        """
        records: dict[bytes, Any] = {
            b"life": [FORMAT, memory.life, memory.starts],
            b"promised": memory.promised,
            b"accepted": _named(memory.accepted),
            b"chosen": _named(memory.chosen),
        }
        bodies = {
            _key(one.value.digest): one.body for one in (memory.accepted, memory.chosen) if one is not None
        }
        changed = {
            key: data for key, data in records.items() if key not in self.saved or self.saved[key] != data
        }
        new = [key for key in bodies if key not in self.saved]
        old = [key for key in self.saved if key.startswith(b"body:") and key not in bodies]
        if not changed and not new:
            return
        try:
            with self._open().begin(write=True) as transaction:
                for key in old:
                    transaction.delete(key)
                for key in new:
                    transaction.put(key, _sealed(_dump(bodies[key])))
                for key, data in changed.items():
                    transaction.put(key, _sealed(_dump(data)))
            self._open().sync(True)
        except (lmdb.Error, OSError) as error:
            self.close()
            self.saved = {}
            raise HiveError("disk-failed", "saving", f"{type(error).__name__}: {error}") from None
        self.saved = records | dict.fromkeys(bodies, True)

    def close(self) -> None:
        """Ends the use of the folder."""
        if self.env is not None:
            self.env.close()
            self.env = None

    def _open(self) -> lmdb.Environment:
        if self.env is None:
            # One process alone uses the folder, and locks do nothing on some disks. lmdb syncs the pages of a
            # commit and then writes which of them hold through a descriptor with O_DSYNC; not each disk heeds
            # that, so `save` syncs that write.
            options: dict[str, Any] = {"lock": False, "readahead": False, "metasync": False}
            self.env = lmdb.open(str(self.folder), map_size=self.size, **options)
        return self.env

    def _load(self) -> Memory | None:
        """What is there, or None where nothing ever was; HiveError where it is in doubt."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            with self._open().begin() as transaction:
                raw = {bytes(key): bytes(data) for key, data in transaction.cursor()}
        except (lmdb.Error, OSError) as error:
            raise HiveError("disk-doubtful", "opening", f"{type(error).__name__}: {error}") from None
        if not raw:
            return None  # nothing was ever synced, so nothing was ever said
        try:
            form, life, starts, *_ = _opened(raw[b"life"], "life")
            if form != FORMAT:
                raise HiveError("disk-newer", "reading", f"it is of format {form}, {FORMAT} is known here")
            held = {name: _opened(raw[name.encode()], name) for name in ("promised", "accepted", "chosen")}
            accepted, chosen = (self._held(held[name], raw) for name in ("accepted", "chosen"))
            return Memory(life, starts, messages.ballot(held["promised"]), accepted, chosen)
        except (KeyError, TypeError, ValueError) as error:
            raise HiveError("disk-doubtful", "reading", f"{type(error).__name__}: {error}") from None

    def _held(self, data: Any, raw: dict[bytes, bytes]) -> Held | None:
        if data is None:
            return None
        ballot, value = messages.ballot(data[0]), messages.value(data[1])
        key = _key(value.digest)
        body: Body = _opened(raw[key], key.decode())
        if digest_of(body) != value.digest:
            raise HiveError("disk-doubtful", "reading", f"{key.decode()} is of another digest")
        return Held(ballot, value, body)

    def _empty(self) -> None:
        self.close()
        with contextlib.suppress(FileNotFoundError):
            (self.folder / FILE).unlink()

    def _sync_names(self) -> None:
        """A new file lasts once it and its folder have been synced."""
        try:
            for path in (self.folder / FILE, self.folder):
                file = os.open(path, os.O_RDONLY)
                try:
                    os.fsync(file)
                finally:
                    os.close(file)
        except OSError as error:
            raise HiveError("disk-failed", "syncing names", str(error)) from None


def _key(digest: str) -> bytes:
    return b"body:" + digest.encode()


def _named(held: Held | None) -> Any:
    return None if held is None else [held.ballot, messages.wire(held.value)]


def _new_life(station: str) -> str:
    """No other has it: chance, and the clocks where chance is seeded alike at each start."""
    text = f"{station}/{secrets.token_hex(16)}/{time.monotonic_ns()}/{time.time_ns()}/{os.getpid()}"
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
