"""The disk of a core machine, on lmdb: what was promised, taken and chosen, each with a checksum.

Bodies are kept by their digests, apart from what names them: a promise or a change of voters writes some
hundred bytes, however long the configuration is. Each save is one transaction, synced when it returns.
"""

from __future__ import annotations

import contextlib
import errno
import hashlib
import os
import secrets
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import lmdb

from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import event, trouble
from pepperrun.consensus.canonical_json import Texts
from pepperrun.consensus.values import FIRST_LIFE, Memory, beginning
from pepperrun.storage.records import BODY, laid_out, opened, owner_of, recall, sealed, sealed_text

MOST_MB = 64  # of the map: some dozens of bodies, and the pages of transactions
FILE = "data.mdb"
TROUBLE = [os.strerror(one) for one in (errno.EIO, errno.ENOSPC, errno.EROFS, errno.EACCES)]


def in_trouble(error: Exception) -> bool:
    """Is it the disk that refuses just now? Any other error at reading tells of damage to what lies there."""
    return isinstance(error, lmdb.DiskError) or any(text in str(error) for text in TROUBLE)


class DiskStore:
    """One folder. `disk_mb`: what the disk holds, 0 for no limit told."""

    def __init__(self, folder: str, disk_mb: float = 0) -> None:
        self.folder = Path(folder)
        self.size = int(min(MOST_MB, disk_mb / 2 if disk_mb else MOST_MB) * 1024 * 1024)
        self.owner = ""  # the ip of the machine whose memory this is
        self.env: lmdb.Environment | None = None
        self.saved: dict[bytes, Any] = {}  # by record, what it was made of
        self.texts = Texts(sort=False)

    def begin(self, station: str, me: str, first_contacts: Sequence[str]) -> Memory:
        """What is remembered, one start counted, all synced. On an empty disk a new life begins.

        `first_contacts`: ips, only where `first_run` is true, else none: who is among them, with an empty
        disk, begins as one of the first voters. A disk in doubt is emptied, and its life is over. One that a
        later version wrote, or another machine, is left alone (raises `disk-newer`, `disk-other`); likewise
        one that can't be read just now (`disk-failed`).
        """
        doubtful = False
        try:
            memory = self.load()
        except PepperrunError as error:
            if error.code in ("disk-newer", "disk-failed"):
                self.close()
                raise
            trouble(error)
            memory, doubtful = None, True
            self._empty()
        if memory is None:
            first = me in first_contacts and not doubtful
            memory = Memory(FIRST_LIFE if first else new_life(station), 0)
            if first:
                memory.accepted = memory.chosen = beginning(first_contacts)
            event("new-life", station=station, life=memory.life, doubtful=doubtful)
        if self.owner not in ("", me):
            self.close()
            raise PepperrunError(
                "disk-other", "reading", f"it holds the memory of {self.owner}, this is {me}"
            )
        self.owner = me
        memory.starts += 1
        self.save(memory)
        self.sync_names()
        return memory

    def save(self, memory: Memory) -> None:
        """Syncs what differs from what was saved last; PepperrunError `disk-failed`.

        After a failure nobody knows what the disk has: the next save opens it anew and writes all.
        """
        named, held = laid_out(memory, self.owner)
        records = {name.encode(): data for name, data in named.items()}
        bodies = {name.encode(): body for name, body in held.items()}
        changed = {
            key: data for key, data in records.items() if key not in self.saved or self.saved[key] != data
        }
        new = [key for key in bodies if key not in self.saved]
        old = [key for key in self.saved if key.startswith(BODY.encode()) and key not in bodies]
        if not changed and not new:
            return
        try:
            with self._open().begin(write=True) as transaction:
                if not self.saved:  # what lies there is of an older format, or of a save that failed
                    keys = [bytes(key) for key in transaction.cursor().iternext(values=False)]
                    old = [key for key in keys if key not in records and key not in bodies]
                for key in old:
                    transaction.delete(key)
                for key in new:
                    transaction.put(key, sealed_text(self.texts.of(bodies[key])))
                for key, data in changed.items():
                    transaction.put(key, sealed(data))
            self._open().sync(True)
        except (lmdb.Error, OSError) as error:
            self.close()
            self.saved = {}
            raise PepperrunError("disk-failed", "saving", f"{type(error).__name__}: {error}") from None
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

    def load(self) -> Memory | None:
        """What is there, or None where nothing ever was; PepperrunError where it is in doubt."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            with self._open().begin() as transaction:
                raw = {bytes(key): bytes(data) for key, data in transaction.cursor()}
        except (lmdb.Error, OSError) as error:
            code = "disk-failed" if in_trouble(error) else "disk-doubtful"
            raise PepperrunError(code, "opening", f"{type(error).__name__}: {error}") from None
        if not raw:
            return None  # nothing was ever synced, so nothing was ever said
        memory = recall(raw)
        self.owner = owner_of(opened(raw[b"life"], "life"))
        return memory

    def _empty(self) -> None:
        self.close()
        with contextlib.suppress(FileNotFoundError):
            (self.folder / FILE).unlink()

    def sync_names(self) -> None:
        """A new file lasts once it and its folder have been synced."""
        try:
            for path in (self.folder / FILE, self.folder):
                file = os.open(path, os.O_RDONLY)
                try:
                    os.fsync(file)
                finally:
                    os.close(file)
        except OSError as error:
            raise PepperrunError("disk-failed", "syncing names", str(error)) from None


def new_life(station: str) -> str:
    """No other has it: chance, and the clocks where chance is seeded alike at each start."""
    text = f"{station}/{secrets.token_hex(16)}/{time.monotonic_ns()}/{time.time_ns()}/{os.getpid()}"
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
