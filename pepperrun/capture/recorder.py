"""Records captures of a running gatekeeper. Drops and counts requests if the disk is too slow or full."""

from __future__ import annotations

import hashlib
import os
import queue
import secrets
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, BinaryIO

from pepperrun.capture import format as capture_format
from pepperrun.capture.format import Attempt, Block, Class, Entry, Footer, Header, Plan, Worker
from pepperrun.core.interface import Settings
from pepperrun.exchange import Exchange
from pepperrun.log import log_message

BATCH_SIZE = 128  # requests; encoding a batch holds the interpreter lock for half a millisecond
FLUSH_INTERVAL_S = 1.0  # after this time the next request flushes a batch that is not full
MAX_QUEUED_BATCHES = 32  # batches that wait for the writer; bounds the memory
MAX_CACHED_HASHES = 50_000  # customers; the cache is cleared at this size
CLOSE_TIMEOUT_S = 2.0  # at shutdown, for each of two waits: for capacity in the queue and for the writer
KEY_FILE_NAME = "capture.key"
RawRecord = tuple[Any, ...]


def load_or_create_key(folder: Path) -> bytes:
    """Returns the folder's hash key, and creates the key file if it is missing.

    If the key file is copied to the folders of other gatekeepers, customers can be matched across captures.
    Raises ValueError for a key of another size than 16 to 64 bytes, OSError if the file can't be used.
    """
    path = folder / KEY_FILE_NAME
    try:
        key = path.read_bytes()
    except FileNotFoundError:
        key = secrets.token_bytes(32)
        with open(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "wb") as file:
            file.write(key)
    if not 16 <= len(key) <= 64:
        raise ValueError(f"{path}: the key must have 16 to 64 bytes")
    return key


def create_header(settings: Settings, name: str, start_ns: int, key: bytes) -> Header:
    """Returns the header of a file of this gatekeeper; `start_ns` is the file's start in Unix time."""
    ns_per_ms = 1_000_000
    return Header(
        capture_format.VERSION,
        name,
        settings.me,
        settings.gateways,
        start_ns,
        hashlib.blake2b(b"id", key=key, digest_size=8).hexdigest(),
        tuple(
            Class(
                request_class.name,
                request_class.target_ns / ns_per_ms,
                request_class.deadline_ns / ns_per_ms,
                request_class.repeat.value,
                request_class.value,
                request_class.late_value,
            )
            for request_class in settings.classes
        ),
        tuple(
            Plan(
                plan.name,
                plan.rate,
                plan.burst,
                plan.ceiling_rate,
                plan.ceiling_depth,
                plan.price,
                plan.over_quota_value,
                plan.over_quota_cost,
            )
            for plan in settings.plans
        ),
    )


class Recorder:
    """Collects finished exchanges on the event loop's thread; a writer thread encodes and writes them.

    `name_and_zone_of` gives the name and the zone of a backend. `open_file` opens the file that starts at a
    time in ns; tests pass a file that stalls or is full. A new file begins when one has `max_file_bytes`
    bytes or is `max_file_s` seconds old.
    """

    def __init__(
        self,
        settings: Settings,
        name: str,
        key: bytes,
        name_and_zone_of: Callable[[int], tuple[str, str]],
        open_file: Callable[[int], BinaryIO],
        clock: Callable[[], int],
        max_file_bytes: int = 64 * 1024 * 1024,
        max_file_s: float = 3600.0,
    ) -> None:
        self.settings, self.name, self.key, self.name_and_zone_of = settings, name, key, name_and_zone_of
        self.open_file, self.clock = open_file, clock
        self.max_file_bytes, self.max_file_s = max_file_bytes, max_file_s
        # Numbers of requests. The event loop's thread changes the first two, the writer thread the others;
        # `lost` counts those of batches that a file did not accept.
        self.received = self.dropped = 0
        self.written = self.lost = 0
        self._batch: list[RawRecord] = []
        self._last_flush = time.monotonic()
        self._queue: queue.Queue[list[RawRecord] | None] = queue.Queue(MAX_QUEUED_BATCHES)
        self._hashes: dict[int, int] = {}
        self._unwritten: list[RawRecord] = []  # the writer's batch that is not in a file yet
        self._thread = threading.Thread(target=self._write_files, name="capture", daemon=True)
        self._thread.start()

    # The methods below run on the event loop's thread.

    def record(self, exchange: Exchange[Any, Any]) -> None:
        """Records an exchange that has its answer and no attempt in flight.

        Only creates a tuple on the event loop's thread; the writer thread encodes the tuple.
        """
        self.received += 1
        now = time.monotonic()
        self._batch.append(
            (
                exchange.started,
                exchange.cls,
                exchange.plan,
                exchange.customer,
                exchange.units,
                exchange.true_units,
                exchange.deadline,
                exchange.end,
                exchange.finished,
                exchange.spread,
                exchange.first,
                exchange.trace,
            )
        )
        if len(self._batch) >= BATCH_SIZE or now - self._last_flush >= FLUSH_INTERVAL_S:
            self.flush(now)

    def flush(self, now: float | None = None) -> None:
        """Passes the batch to the writer, or drops and counts the batch if the writer's queue is full."""
        self._last_flush = time.monotonic() if now is None else now
        batch, self._batch = self._batch, []
        if not batch:
            return
        try:
            self._queue.put_nowait(batch)
        except queue.Full:
            self.dropped += len(batch)
            log_message("capture", f"capture: the disk is too slow; {self.dropped} requests dropped so far")

    def close(self) -> None:
        """Flushes the batch, and waits for the writer, with `CLOSE_TIMEOUT_S` for each of two waits.

        Batches that are not written when the process exits are lost; the last file then has no footer.
        """
        self.flush()
        try:
            self._queue.put(None, timeout=CLOSE_TIMEOUT_S)
        except queue.Full:
            return
        self._thread.join(CLOSE_TIMEOUT_S)

    # The methods below run on the writer thread.

    def _write_files(self) -> None:
        more = True
        while more:
            file = None
            try:
                start_ns = self.clock()
                file = self.open_file(start_ns)
                more = self._write_file(file, start_ns)
            except OSError as error:  # the disk is full or gone; later batches may succeed
                self.lost += len(self._unwritten)
                log_message("capture", f"capture: the file could not be opened or written: {error}")
                more = self._next_batch()
            finally:
                if file is not None:
                    try:
                        file.close()
                    except OSError as error:
                        log_message("capture", f"capture: the file could not be closed: {error}")

    def _next_batch(self) -> bool:
        """Waits for the next batch; returns False if the recorder is closed instead."""
        batch = self._queue.get()
        self._unwritten = batch or []
        return batch is not None

    def _write_file(self, file: BinaryIO, start_ns: int) -> bool:
        """Writes batches until the file has its maximum size or age, or the recorder is closed.

        Returns False if the recorder is closed.
        """
        data = capture_format.encode_file_start(create_header(self.settings, self.name, start_ns, self.key))
        file.write(data)
        size, count, last_at_us, opened_at, more = len(data), 0, 0, time.monotonic(), True
        worker_numbers: dict[int, int] = {}
        while more:
            if self._unwritten:
                block = self._create_block(self._unwritten, start_ns, worker_numbers)
                data = capture_format.encode_frame(b"B", block)
                file.write(data)
                size, count = size + len(data), count + len(self._unwritten)
                self.written += len(self._unwritten)
                self._unwritten = []
                last_at_us = max(last_at_us, *(entry.at_us for entry in block.entries))
            more = self._next_batch()
            if size >= self.max_file_bytes or time.monotonic() - opened_at >= self.max_file_s:
                break
        file.write(capture_format.encode_frame(b"F", Footer(count, self.dropped + self.lost, last_at_us)))
        return more

    def _create_block(self, batch: list[RawRecord], start_ns: int, worker_numbers: dict[int, int]) -> Block:
        """Returns a batch as a block, and adds workers that are new in the file to `worker_numbers`."""
        new_workers: list[Worker] = []
        entries = []
        for (
            started,
            cls,
            plan,
            customer,
            units,
            true_units,
            deadline,
            end,
            finished,
            spread,
            first,
            trace,
        ) in batch:
            attempts = []
            for backend, sent, outcome, ended in trace or ():
                if backend not in worker_numbers:
                    worker_numbers[backend] = len(worker_numbers)
                    new_workers.append(Worker(worker_numbers[backend], *self.name_and_zone_of(backend)))
                attempts.append(
                    Attempt(
                        worker_numbers[backend],
                        outcome.value if outcome is not None else "out",
                        (sent - started) // 1000,
                        (ended - started) // 1000 if ended else -1,
                    )
                )
            entries.append(
                Entry(
                    (started - start_ns) // 1000,
                    cls,
                    plan,
                    self._hash_customer(customer),
                    units,
                    true_units,
                    (deadline - started) // 1000,
                    end.value,
                    (finished - started) // 1000,
                    spread,
                    first,
                    tuple(attempts),
                    self.settings.me,
                )
            )
        return Block(tuple(new_workers), tuple(entries))

    def _hash_customer(self, customer: int) -> int:
        """Returns the keyed hash of a customer's number, in 33 bits."""
        hashed = self._hashes.get(customer)
        if hashed is None:
            if len(self._hashes) >= MAX_CACHED_HASHES:
                self._hashes.clear()
            data = customer.to_bytes(8, "big")
            digest = hashlib.blake2b(data, digest_size=8, key=self.key).digest()
            hashed = self._hashes[customer] = int.from_bytes(digest, "big") >> 31
        return hashed


def rotating_files(folder: Path, name: str, max_files: int) -> Callable[[int], BinaryIO]:
    """Returns a function that opens the file of one gatekeeper that starts at a time in ns.

    The file is named after the gatekeeper and the start in ms. Opening a file first deletes the oldest ones
    of the gatekeeper, so that no more than `max_files` remain.
    """
    safe_name = "".join(char if char.isalnum() or char in "-_" else "_" for char in name)

    def open_file(start_ns: int) -> BinaryIO:
        existing = sorted(folder.glob(f"{safe_name}-*.prcap"))
        for path in existing[: max(0, len(existing) + 1 - max_files)]:
            path.unlink(missing_ok=True)
        path = folder / f"{safe_name}-{start_ns // 1_000_000:015d}.prcap"
        return open(path, "xb", buffering=0)

    return open_file
