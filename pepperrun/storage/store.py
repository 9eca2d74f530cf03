"""The disk of a control node, on lmdb: what was promised, accepted and chosen, each with a checksum.

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
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import lmdb

from pepperrun.consensus.canonical_json import CachedJsonEncoder
from pepperrun.consensus.state import FIRST_DISK_ID, DurableState, initial_proposal
from pepperrun.foundation.errors import (
    CorruptStateError,
    DiskUnavailableError,
    ForeignDiskError,
    NewerFormatError,
    StorageError,
)
from pepperrun.foundation.logs import event, trouble
from pepperrun.storage.formats import IDENTITY
from pepperrun.storage.records import (
    BODY_PREFIX,
    decode_record,
    encode_record,
    encode_record_text,
    owner_of,
    read_state,
    to_records,
)

MAX_MAP_MB = 64  # of the map: some dozens of bodies, and the pages of transactions
MB = 1024 * 1024  # bytes
DISK_ID_BYTES = 8
DATA_FILE = "data.mdb"
_UNAVAILABLE = [os.strerror(code) for code in (errno.EIO, errno.ENOSPC, errno.EROFS, errno.EACCES)]
_LMDB_FAILURES = (lmdb.Error, OSError)


def is_unavailable(error: Exception) -> bool:
    """Whether the disk refuses just now. Any other error at reading tells of damage to what lies there."""
    return isinstance(error, lmdb.DiskError) or any(text in str(error) for text in _UNAVAILABLE)


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


class DiskStore:
    """The durable state in one folder.

    Parameters
    ----------
    folder : str
        Made where it is missing.
    disk_mb : float
        Size of the disk, MB; 0 where it is not known.
    """

    def __init__(self, folder: str, disk_mb: float = 0) -> None:
        self.folder = Path(folder)
        self.map_bytes = int(min(MAX_MAP_MB, disk_mb / 2 if disk_mb else MAX_MAP_MB) * MB)
        self.owner = ""  # the ip of the machine whose state this is
        self._environment: lmdb.Environment | None = None
        self._saved: dict[bytes, Any] = {}  # by record, what was saved of it last
        self._encoder = CachedJsonEncoder(sort_keys=False)

    def load_or_create(self, node_name: str, own_ip: str, first_contacts: Sequence[str]) -> DurableState:
        """Load the state, count one start and sync. An empty disk begins a new incarnation.

        A disk with damaged state is emptied, and its incarnation is over.

        Parameters
        ----------
        first_contacts : sequence of str
            Ips, only at the first start of the system, else none: a node among them whose disk is empty
            begins as one of the first voters.

        Raises
        ------
        NewerFormatError, ForeignDiskError
            A later version or another machine wrote it; it is left alone.
        DiskUnavailableError
            It can't be read or written now; it is left alone.
        """
        state, damaged = self._load_or_discard()
        if state is None:
            is_first = own_ip in first_contacts and not damaged
            state = DurableState(FIRST_DISK_ID if is_first else new_disk_id(node_name), starts=0)
            if is_first:
                state.accepted = state.chosen = initial_proposal(first_contacts)
            event("new-disk", node=node_name, disk_id=state.disk_id, damaged=damaged)
        if self.owner not in ("", own_ip):
            self.close()
            raise ForeignDiskError("reading", f"it holds the state of {self.owner}, this is {own_ip}")
        self.owner = own_ip
        state.starts += 1
        self.save(state)
        self.sync_file_and_folder()
        return state

    def _load_or_discard(self) -> tuple[DurableState | None, bool]:
        """Return the state, None where there is none, and whether there was a damaged one."""
        try:
            return self.load(), False
        except (NewerFormatError, DiskUnavailableError):
            self.close()
            raise
        except StorageError as error:
            trouble(error)
            self._discard()
            return None, True

    def load(self) -> DurableState | None:
        """Return what is there, or None where nothing ever was.

        Raises
        ------
        CorruptStateError, NewerFormatError, DiskUnavailableError
            See `load_or_create`.
        """
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            with self._open().begin() as transaction:
                encoded = {bytes(key): bytes(data) for key, data in transaction.cursor()}
        except _LMDB_FAILURES as error:
            kind = DiskUnavailableError if is_unavailable(error) else CorruptStateError
            raise kind("opening", _describe(error)) from None
        if not encoded:
            return None  # nothing was ever synced, so nothing was ever said
        state = read_state(encoded)
        self.owner = owner_of(decode_record(encoded[IDENTITY.encode()], IDENTITY))
        return state

    def save(self, state: DurableState) -> None:
        """Sync what differs from what was saved last.

        After a failure nobody knows what the disk has: the next save opens it anew and writes all.

        Raises
        ------
        DiskUnavailableError
            It could not be written or synced.
        """
        records, bodies = to_records(state, self.owner)
        records_by_key = {name.encode(): data for name, data in records.items()}
        bodies_by_key = {name.encode(): body for name, body in bodies.items()}
        changed = {key: data for key, data in records_by_key.items() if self._differs(key, data)}
        added = {key: body for key, body in bodies_by_key.items() if key not in self._saved}
        if not changed and not added:
            return
        try:
            with self._open().begin(write=True) as transaction:
                for key in list(self._obsolete(transaction, {*records_by_key, *bodies_by_key})):
                    transaction.delete(key)
                for key, body in added.items():
                    transaction.put(key, encode_record_text(self._encoder.encode(body)))
                for key, data in changed.items():
                    transaction.put(key, encode_record(data))
            self._open().sync(True)
        except _LMDB_FAILURES as error:
            self.close()
            self._saved = {}
            raise DiskUnavailableError("saving", _describe(error)) from None
        self._saved = records_by_key | dict.fromkeys(bodies_by_key, True)

    def _differs(self, key: bytes, data: Any) -> bool:
        return key not in self._saved or self._saved[key] != data

    def _obsolete(self, transaction: lmdb.Transaction, kept: set[bytes]) -> Iterator[bytes]:
        """Keys to delete: bodies that nothing names any more.

        Where nothing was saved yet, whatever lies there is of an older format, or of a save that failed.
        """
        if self._saved:
            prefix = BODY_PREFIX.encode()
            return (key for key in self._saved if key.startswith(prefix) and key not in kept)
        keys = (bytes(key) for key in transaction.cursor().iternext(values=False))
        return (key for key in keys if key not in kept)

    def close(self) -> None:
        """End the use of the folder."""
        if self._environment is not None:
            self._environment.close()
            self._environment = None

    def used_bytes(self) -> int:
        """Bytes of the pages that hold something now."""
        statistics = self._open().stat()
        pages = statistics["branch_pages"] + statistics["leaf_pages"] + statistics["overflow_pages"]
        return int(pages * statistics["psize"])

    def _open(self) -> lmdb.Environment:
        if self._environment is None:
            # One process alone uses the folder, and locks do nothing on some disks. lmdb syncs the pages of a
            # commit and then writes which of them hold through a descriptor with O_DSYNC; not each disk heeds
            # that, so `save` syncs that write.
            self._environment = lmdb.open(
                str(self.folder), map_size=self.map_bytes, lock=False, readahead=False, metasync=False
            )
        return self._environment

    def _discard(self) -> None:
        self.close()
        with contextlib.suppress(FileNotFoundError):
            (self.folder / DATA_FILE).unlink()

    def sync_file_and_folder(self) -> None:
        """Sync file and folder: only then does a new file survive a loss of power.

        Raises
        ------
        DiskUnavailableError
            One of them can't be synced.
        """
        try:
            for path in (self.folder / DATA_FILE, self.folder):
                descriptor = os.open(path, os.O_RDONLY)
                try:
                    os.fsync(descriptor)
                finally:
                    os.close(descriptor)
        except OSError as error:
            raise DiskUnavailableError("syncing file names", str(error)) from None


def new_disk_id(node_name: str) -> str:
    """Return an id that no other disk has: chance, and clocks where chance is seeded alike at each start."""
    text = f"{node_name}/{secrets.token_hex(16)}/{time.monotonic_ns()}/{time.time_ns()}/{os.getpid()}"
    return hashlib.blake2b(text.encode(), digest_size=DISK_ID_BYTES).hexdigest()
