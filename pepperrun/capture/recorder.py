"""Writes captures beside a running gatekeeper: what the disk does not take in time is dropped and counted."""

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

BATCH_SIZE = 128  # packed at a time: the writer holds the interpreter for half a millisecond
MAX_BATCH_AGE_S = 1.0  # a part of a batch waits no longer than this
MAX_QUEUED_BATCHES = 32  # batches that the writer has not taken: the bound on memory
MAX_CACHED_HASHES = 50_000  # whose hashes are kept
CLOSE_TIMEOUT_S = 2.0  # for the last batches at the end
KEY_FILE_NAME = "capture.key"
RawRecord = tuple[Any, ...]


def load_or_create_key(folder: Path) -> bytes:
    """The folder's key; made where there is none. Copied to other gatekeepers' folders, customers match."""
    path = folder / KEY_FILE_NAME
    try:
        key = path.read_bytes()
    except FileNotFoundError:
        key = secrets.token_bytes(32)
        with open(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "wb") as file:
            file.write(key)
    if not 16 <= len(key) <= 64:
        raise ValueError(f"{path}: a key has 16 to 64 bytes")
    return key


def create_header(settings: Settings, name: str, start_ns: int, key: bytes) -> Header:
    """What a file of this gatekeeper says first."""
    ms = 1_000_000
    return Header(
        capture_format.VERSION,
        name,
        settings.me,
        settings.gateways,
        start_ns,
        hashlib.blake2b(b"id", key=key, digest_size=8).hexdigest(),
        tuple(
            Class(
                kind.name,
                kind.target_ns / ms,
                kind.deadline_ns / ms,
                kind.repeat.value,
                kind.value,
                kind.late_value,
            )
            for kind in settings.classes
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
    """Takes in finished exchanges on the loop's thread; a thread of its own packs and writes them.

    `open_file` makes the next file's object: tests give one that stalls or is full.
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
        self.received = self.dropped = 0  # on the loop's thread
        self.written = self.lost = 0  # on the writer's: to files, and batches that a file did not take
        self._batch: list[RawRecord] = []
        self._last_flush = time.monotonic()
        self._queue: queue.Queue[list[RawRecord] | None] = queue.Queue(MAX_QUEUED_BATCHES)
        self._hashes: dict[int, int] = {}
        self._unwritten: list[RawRecord] = []  # the writer's: handed over and in no file yet
        self._thread = threading.Thread(target=self._write_files, name="capture", daemon=True)
        self._thread.start()

    # On the loop's thread.

    def record(self, exchange: Exchange[Any, Any]) -> None:
        """An exchange is over, its attempts ended. Costs a tuple; packing is the writer's."""
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
        if len(self._batch) >= BATCH_SIZE or now - self._last_flush >= MAX_BATCH_AGE_S:
            self.flush(now)

    def flush(self, now: float | None = None) -> None:
        """Hands the batch to the writer, or drops it where that is too far behind."""
        self._last_flush = time.monotonic() if now is None else now
        batch, self._batch = self._batch, []
        if not batch:
            return
        try:
            self._queue.put_nowait(batch)
        except queue.Full:
            self.dropped += len(batch)
            log_message("capture", f"capture: the disk is behind, {self.dropped} requests dropped so far")

    def close(self) -> None:
        """Writes what is waiting, for a moment; what is not written by then counts as dropped."""
        self.flush()
        try:
            self._queue.put(None, timeout=CLOSE_TIMEOUT_S)
        except queue.Full:
            return
        self._thread.join(CLOSE_TIMEOUT_S)

    # On the writer's.

    def _write_files(self) -> None:
        more = True
        while more:
            file = None
            try:
                start = self.clock()
                file = self.open_file(start)
                more = self._write_file(file, start)
            except OSError as error:  # the disk is full or gone: later batches may fit again
                self.lost += len(self._unwritten)
                log_message("capture", f"capture: {error}")
                more = self._next_batch()
            finally:
                if file is not None:
                    try:
                        file.close()
                    except OSError as error:
                        log_message("capture", f"capture: {error}")

    def _next_batch(self) -> bool:
        """Waits for the next batch; False at the end."""
        batch = self._queue.get()
        self._unwritten = batch or []
        return batch is not None

    def _write_file(self, file: BinaryIO, start: int) -> bool:
        """Until the file is big or old enough, or the end, which gives False."""
        data = capture_format.encode_file_start(create_header(self.settings, self.name, start, self.key))
        file.write(data)
        size, count, latest, began, more = len(data), 0, 0, time.monotonic(), True
        numbers: dict[int, int] = {}
        while more:
            if self._unwritten:
                block = self._create_block(self._unwritten, start, numbers)
                data = capture_format.encode_frame(b"B", block)
                file.write(data)
                size, count = size + len(data), count + len(self._unwritten)
                self.written += len(self._unwritten)
                self._unwritten = []
                latest = max(latest, *(entry.at_us for entry in block.entries))
            more = self._next_batch()
            if size >= self.max_file_bytes or time.monotonic() - began >= self.max_file_s:
                break
        file.write(capture_format.encode_frame(b"F", Footer(count, self.dropped + self.lost, latest)))
        return more

    def _create_block(self, batch: list[RawRecord], start: int, numbers: dict[int, int]) -> Block:
        new: list[Worker] = []
        entries = []
        for began, cls, plan, customer, units, cost, deadline, end, finished, spread, first, trace in batch:
            attempts = []
            for backend, sent, outcome, ended in trace or ():
                if backend not in numbers:
                    numbers[backend] = len(numbers)
                    new.append(Worker(numbers[backend], *self.name_and_zone_of(backend)))
                attempts.append(
                    Attempt(
                        numbers[backend],
                        outcome.value if outcome is not None else "out",
                        (sent - began) // 1000,
                        (ended - began) // 1000 if ended else -1,
                    )
                )
            entries.append(
                Entry(
                    (began - start) // 1000,
                    cls,
                    plan,
                    self._hash_customer(customer),
                    units,
                    cost,
                    (deadline - began) // 1000,
                    end.value,
                    (finished - began) // 1000,
                    spread,
                    first,
                    tuple(attempts),
                    self.settings.me,
                )
            )
        return Block(tuple(new), tuple(entries))

    def _hash_customer(self, customer: int) -> int:
        got = self._hashes.get(customer)
        if got is None:
            if len(self._hashes) >= MAX_CACHED_HASHES:
                self._hashes.clear()
            data = customer.to_bytes(8, "big")
            digest = hashlib.blake2b(data, digest_size=8, key=self.key).digest()
            got = self._hashes[customer] = int.from_bytes(digest, "big") >> 31
        return got


def rotating_files(folder: Path, name: str, max_files: int) -> Callable[[int], BinaryIO]:
    """Files of one gatekeeper in a folder, named by their start; the oldest go when there are too many."""
    safe = "".join(char if char.isalnum() or char in "-_" else "_" for char in name)

    def open_file(start_ns: int) -> BinaryIO:
        old = sorted(folder.glob(f"{safe}-*.prcap"))
        for path in old[: max(0, len(old) + 1 - max_files)]:
            path.unlink(missing_ok=True)
        path = folder / f"{safe}-{start_ns // 1_000_000:015d}.prcap"
        return open(path, "xb", buffering=0)

    return open_file
