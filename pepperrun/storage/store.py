"""The disk of a control node, in lmdb: what was promised, accepted and chosen, each record with a checksum.

Bodies are stored by digest, apart from the proposals that name them: so a promise or a change of voters
writes only some hundred bytes, however long the configuration is. Each save is one transaction, synced when
the call returns.
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
from pepperrun.foundation.logs import event, log_error
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

MAX_MAP_MB = 64  # size of the lmdb map: room for some dozens of bodies, and for the pages of transactions
MB = 1024 * 1024  # bytes
DISK_ID_BYTES = 8
DATA_FILE = "data.mdb"
_UNAVAILABLE = [os.strerror(code) for code in (errno.EIO, errno.ENOSPC, errno.EROFS, errno.EACCES)]
_LMDB_FAILURES = (lmdb.Error, OSError)


def is_unavailable(error: Exception) -> bool:
    """Whether an error says that the disk is unavailable now. Any other read error means damaged data."""
    return isinstance(error, lmdb.DiskError) or any(text in str(error) for text in _UNAVAILABLE)


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


class DiskStore:
    """Stores the durable state of one control node in one folder.

    Parameters
    ----------
    folder : str
        Created if it is missing.
    disk_mb : float
        Size of the disk in MB, of which at most half is used; 0 if unknown.
    """

    def __init__(self, folder: str, disk_mb: float = 0) -> None:
        self.folder = Path(folder)
        self.map_bytes = int(min(MAX_MAP_MB, disk_mb / 2 if disk_mb else MAX_MAP_MB) * MB)
        self.owner = ""  # ip of the machine that owns the state
        self._environment: lmdb.Environment | None = None
        self._saved: dict[bytes, Any] = {}  # by key, the data of the record that was saved last
        self._encoder = CachedJsonEncoder(sort_keys=False)

    def load_or_create(self, node_name: str, own_ip: str, first_contacts: Sequence[str]) -> DurableState:
        """Load the state, or create one on an empty disk; increment its count of starts, and sync.

        An empty disk starts a new incarnation. A disk with damaged state is erased: its incarnation ends, and
        a new one starts.

        Parameters
        ----------
        first_contacts : sequence of str
            Ips of the first contacts at the first start of the system, empty later. A node among them whose
            disk is empty starts as one of the first voters.

        Raises
        ------
        NewerFormatError, ForeignDiskError
            A later version or another machine wrote the state, which is left unchanged.
        DiskUnavailableError
            The disk can't be read or written now. Its state is left unchanged.
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
            raise ForeignDiskError(
                "reading", f"the disk has the state of {self.owner}, but this machine is {own_ip}"
            )
        self.owner = own_ip
        state.starts += 1
        self.save(state)
        self.sync_file_and_folder()
        return state

    def _load_or_discard(self) -> tuple[DurableState | None, bool]:
        """Return the state, None if there is none, and whether a damaged state was erased."""
        try:
            return self.load(), False
        except (NewerFormatError, DiskUnavailableError):
            self.close()
            raise
        except StorageError as error:
            log_error(error)
            self._discard()
            return None, True

    def load(self) -> DurableState | None:
        """Return the stored state, or None if nothing was ever saved.

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
            return None  # nothing was ever synced, so this incarnation has sent no promise or acceptance
        state = read_state(encoded)
        self.owner = owner_of(decode_record(encoded[IDENTITY.encode()], IDENTITY))
        return state

    def save(self, state: DurableState) -> None:
        """Write and sync the records that differ from those of the last save.

        After a failure the content of the disk is unknown: the next save reopens it and writes all records.

        Raises
        ------
        DiskUnavailableError
            The state could not be written or synced.
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
        """Return the keys to delete: bodies that no proposal names any more.

        If this process has saved nothing yet, or the last save failed, all keys on the disk are checked: some
        may be of an older format or of the failed save.
        """
        if self._saved:
            prefix = BODY_PREFIX.encode()
            return (key for key in self._saved if key.startswith(prefix) and key not in kept)
        keys = (bytes(key) for key in transaction.cursor().iternext(values=False))
        return (key for key in keys if key not in kept)

    def close(self) -> None:
        """Close the database; the next access opens it again."""
        if self._environment is not None:
            self._environment.close()
            self._environment = None

    def used_bytes(self) -> int:
        """Return the bytes of all pages in use, without free pages of the file."""
        statistics = self._open().stat()
        pages = statistics["branch_pages"] + statistics["leaf_pages"] + statistics["overflow_pages"]
        return int(pages * statistics["psize"])

    def _open(self) -> lmdb.Environment:
        if self._environment is None:
            # No lock, because only one process uses the folder, and locks have no effect on some disks. lmdb
            # syncs the data pages of a commit, and then writes the meta page, which names the valid pages,
            # through a descriptor with O_DSYNC. Some disks ignore O_DSYNC, so `save` syncs the meta page too.
            self._environment = lmdb.open(
                str(self.folder), map_size=self.map_bytes, lock=False, readahead=False, metasync=False
            )
        return self._environment

    def _discard(self) -> None:
        self.close()
        with contextlib.suppress(FileNotFoundError):
            (self.folder / DATA_FILE).unlink()

    def sync_file_and_folder(self) -> None:
        """Sync the data file and its folder: a new file survives a power failure only after both.

        Raises
        ------
        DiskUnavailableError
            The file or the folder can't be synced.
        """
        try:
            for path in (self.folder / DATA_FILE, self.folder):
                descriptor = os.open(path, os.O_RDONLY)
                try:
                    os.fsync(descriptor)
                finally:
                    os.close(descriptor)
        except OSError as error:
            raise DiskUnavailableError("syncing the file and its folder", str(error)) from None


def new_disk_id(node_name: str) -> str:
    """Return a unique id, from random bytes, both clocks and the process id.

    The clocks keep it unique on machines whose random generator has the same seed at each start.
    """
    text = f"{node_name}/{secrets.token_hex(16)}/{time.monotonic_ns()}/{time.time_ns()}/{os.getpid()}"
    return hashlib.blake2b(text.encode(), digest_size=DISK_ID_BYTES).hexdigest()
