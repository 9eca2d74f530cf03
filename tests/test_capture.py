"""Captures: the file format and its damage, the recorder with slow and full disks, and the edits."""

from __future__ import annotations

import asyncio
import io
import json
import threading
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from standins import SECOND, SETTINGS, Front, StandIn, going, line, ok, reset

from pepperrun.__main__ import main
from pepperrun.bench.stalling import stalling
from pepperrun.capture import edit
from pepperrun.capture import format as capture_format
from pepperrun.capture.format import (
    Attempt,
    Capture,
    Class,
    Entry,
    FormatError,
    Header,
    Plan,
    Worker,
    decode_capture,
    encode_capture,
)
from pepperrun.capture.recorder import (
    BATCH_SIZE,
    MAX_QUEUED_BATCHES,
    Recorder,
    load_or_create_key,
    rotating_files,
)

KEY = b"k" * 32
HEADER = Header(
    capture_format.VERSION,
    "n0",
    0,
    2,
    1_700_000_000 * SECOND,
    "id",
    (Class("search", 2000, 8000, "safe", 1.0), Class("confirm", 1500, 5000, "keyed", 5.0)),
    (Plan("small", 2, 8), Plan("large", 15, 33)),
)


def sample(count: int = 40, gatekeeper: int = 0, shift_s: int = 0, **header: object) -> Capture:
    import msgspec

    capture = Capture(
        msgspec.structs.replace(
            HEADER, **({"number": gatekeeper, "start_ns": HEADER.start_ns + shift_s * SECOND} | header)
        )
    )
    capture.workers = {0: Worker(0, f"w{gatekeeper}", "a"), 1: Worker(1, "shared", "b")}
    for number in range(count):
        attempts = (Attempt(number % 2, "ok", 100, 50_000),)
        capture.entries.append(
            Entry(
                *(number * 100_000, number % 2, number % 2, number % 5, 2.0, 1.0, 8_000_000),
                *("served", 51_000, 2, 0, attempts, gatekeeper),
            )
        )
    return capture


def test_an_encoded_capture_decodes_to_the_same_contents():
    capture = sample()
    again = decode_capture(encode_capture(capture, entries_per_block=7))
    assert (again.header, again.entries, again.workers) == (capture.header, capture.entries, capture.workers)
    assert again.complete and not again.remarks


def test_a_truncated_file_gives_the_blocks_before_the_truncation():
    data, all_entries = encode_capture(sample(20), entries_per_block=5), sample(20).entries
    for end in range(len(data)):
        try:
            capture = decode_capture(data[:end])
        except FormatError:
            assert end < 300  # within the header
            continue
        assert capture.remarks and not capture.complete
        assert capture.entries == all_entries[: len(capture.entries)] and len(capture.entries) % 5 == 0


@given(st.integers(0, 5000), st.integers(1, 255))
def test_one_changed_byte_is_always_detected(at, change):
    data = bytearray(encode_capture(sample(20), entries_per_block=5))
    data[at % len(data)] ^= change
    try:
        capture = decode_capture(bytes(data))
    except FormatError:
        return
    assert capture.remarks and capture.entries == sample(20).entries[: len(capture.entries)]


@given(st.binary(max_size=200))
def test_invalid_data_raises_format_error(data):
    for text in (data, capture_format.MAGIC + data):
        with pytest.raises(FormatError):
            decode_capture(text)


def test_other_versions_are_rejected_and_inconsistent_entries_reported():
    import msgspec

    newer = msgspec.structs.replace(HEADER, version=2)
    with pytest.raises(FormatError, match="version 2"):
        decode_capture(capture_format.encode_file_start(newer))
    bad = sample(3)
    bad.entries[1] = capture_format.replace_fields(bad.entries[1], cls=9)
    assert "class 9" in decode_capture(encode_capture(bad)).remarks[0]
    bad = sample(3)
    del bad.workers[1]
    assert "without a name" in decode_capture(encode_capture(bad)).remarks[0]


def test_merge_joins_gatekeepers_and_reports_missing_files_overlaps_and_gaps():
    merged = edit.merge([sample(gatekeeper=1, shift_s=1), sample()])
    times = [entry.at_us for entry in merged.entries]
    assert times == sorted(times) and len(times) == 80 and not merged.remarks
    assert sorted(worker.name for worker in merged.workers.values()) == ["shared", "w0", "w1"]
    assert {merged.workers[one.attempts[0].worker].name for one in merged.entries if one.gatekeeper} == {
        "w1",
        "shared",
    }
    remarks = edit.merge([sample(), sample(shift_s=1), sample(shift_s=30, key_id="other")]).remarks
    for text in ("gatekeeper 1: no file", "stepped", "no requests from"):
        assert any(text in remark for remark in remarks), text
    assert any("its hash key differs" in remark for remark in remarks)
    with pytest.raises(FormatError, match="classes or plans differ"):
        edit.merge([sample(), sample(classes=HEADER.classes[:1])])


def test_cut_scale_and_anonymise():
    capture = sample(400)
    period = edit.cut(capture, 10, 20)
    assert len(period.entries) == 100 and period.entries[0].at_us == 0
    for factor in (0.5, 1.0, 2.5):
        count = len(edit.scale(capture, factor, seed=3).entries)
        assert abs(count - 400 * factor) <= 40 * factor
    assert edit.scale(capture, 2.5, seed=3).entries == edit.scale(capture, 2.5, seed=3).entries
    scaled = edit.scale(capture, 1.0, {"confirm": 0.0}, {"large": 3.0}).entries
    assert {entry.cls for entry in scaled} == {0}
    with pytest.raises(FormatError, match="'nosuch'"):
        edit.scale(capture, 1.0, {"nosuch": 2.0})
    anonymised = edit.anonymise(capture, KEY)
    assert {worker.name for worker in anonymised.workers.values()} == {"worker-0", "worker-1"}
    before, after = ([entry.customer for entry in one.entries] for one in (capture, anonymised))
    assert len(set(zip(before, after, strict=True))) == len(set(after)) == 5 and not set(before) & set(after)


class StalledFile(io.BytesIO):
    """A file that accepts the header and blocks each later write until `resume` is set, at most 20 s each."""

    def __init__(self) -> None:
        super().__init__()
        self.resume, self.content, self.writes = threading.Event(), b"", 0

    def write(self, data: bytes) -> int:  # type: ignore[override]
        self.writes += 1
        if self.writes > 1:
            self.resume.wait(20)
        self.content += data
        return len(data)

    def close(self) -> None:
        pass


def create_exchange(number: int) -> object:
    from pepperrun.exchange import End, Exchange

    exchange = Exchange(None, print, cls=0, plan=0, customer=number, started=number, deadline=number + SECOND)
    exchange.end, exchange.finished = End.SERVED, number + 1000
    exchange.trace = [[7, number + 500, None, 0]]
    return exchange


def test_a_stalled_disk_drops_and_counts_requests_and_memory_stays_bounded():
    file = StalledFile()
    recorder = Recorder(SETTINGS, "n0", KEY, lambda backend: ("w", "a"), lambda start: file, lambda: 0)
    total = BATCH_SIZE * (MAX_QUEUED_BATCHES + 20) + 5
    for number in range(total):
        recorder.record(create_exchange(number))
    recorder.flush()
    queued = recorder._queue.qsize() * BATCH_SIZE
    assert queued <= MAX_QUEUED_BATCHES * BATCH_SIZE and recorder.dropped > 0
    dropped = recorder.dropped
    file.resume.set()
    recorder.close()
    capture = decode_capture(file.content)
    assert capture.complete and not capture.remarks
    assert len(capture.entries) == recorder.written == total - dropped and capture.dropped == dropped
    assert capture.entries[0].attempts == (Attempt(0, "out", 0, -1),)


def test_a_full_disk_loses_the_failed_batch_and_the_next_file_has_the_rest():
    files = []

    class FullFile(io.BytesIO):
        def write(self, data: bytes) -> int:  # type: ignore[override]
            if len(files) == 1 and self.tell():
                raise OSError(28, "No space left on device")
            return super().write(data)

        def close(self) -> None:
            pass

    def open_file(start: int) -> io.BytesIO:
        files.append(FullFile())
        return files[-1]

    recorder = Recorder(SETTINGS, "n0", KEY, lambda backend: ("w", "a"), open_file, lambda: 0)
    for number in range(3 * BATCH_SIZE):
        recorder.record(create_exchange(number))
    recorder.close()
    assert (recorder.lost, recorder.written) == (BATCH_SIZE, 2 * BATCH_SIZE) and len(files) == 2
    second = decode_capture(files[1].getvalue())
    assert len(second.entries) == 2 * BATCH_SIZE and second.dropped == BATCH_SIZE


def test_files_are_rotated_and_the_oldest_are_deleted(tmp_path):
    opened = rotating_files(tmp_path, "n/0", 2)
    for start in (1, 2, 3):
        opened(start * SECOND).close()
    assert [path.name for path in sorted(tmp_path.iterdir())] == [
        "n_0-000000000002000.prcap",
        "n_0-000000000003000.prcap",
    ]
    assert (
        load_or_create_key(tmp_path) == load_or_create_key(tmp_path)
        and (tmp_path / "capture.key").stat().st_mode & 0o077 == 0
    )


def test_a_gatekeeper_records_its_requests_and_each_attempt(tmp_path):
    async def test():
        front, bad, good = Front(), await StandIn(reset).start(), await StandIn(ok()).start()
        front.list(line("bad", bad.port), line("good", good.port))
        key = load_or_create_key(tmp_path)
        directory = front.directory
        recorder = Recorder(
            SETTINGS,
            "n0",
            key,
            lambda backend: (directory.names[backend], directory.endpoints[backend].zone),
            rotating_files(tmp_path, "n0", 9),
            front.clock,
        )
        front.gatekeeper.observer = recorder.record
        client = await front.client()
        for status in (200, 429):
            client.ask(plan="tight")
            assert (await client.answer())[0] == status
        while front.gatekeeper.exchanges:
            await asyncio.sleep(0)
        recorder.close()
        (path,) = tmp_path.glob("*.prcap")
        capture = decode_capture(path.read_bytes())
        # The rejected request can be recorded first: the served one is recorded when its attempts have ended.
        capture.entries.sort(key=lambda entry: entry.at_us)
        assert [entry.end for entry in capture.entries] == ["served", "refused"]
        names = {worker.number: worker.name for worker in capture.workers.values()}
        outcomes = [(names[a.worker], a.outcome) for entry in capture.entries for a in entry.attempts]
        assert outcomes.count(("good", "ok")) == 1 and set(outcomes) <= {
            ("good", "ok"),
            ("bad", "reset"),
        }
        assert all(
            0 <= a.sent_us < a.ended_us <= entry.took_us for entry in capture.entries for a in entry.attempts
        )
        assert capture.entries[0].customer != 7 and len({entry.customer for entry in capture.entries}) == 1

    going(test)


def test_the_command_shows_and_edits_captures_and_rejects_invalid_input(tmp_path, capsys):
    path, out = tmp_path / "a.prcap", tmp_path / "b.prcap"
    path.write_bytes(encode_capture(sample(100)))
    assert main(["capture", "show", "--json", str(path)]) == 0
    assert json.loads(capsys.readouterr().out)["requests"] == 100
    assert main(["capture", "cut", str(path), "--to", "5", "--out", str(out)]) == 0
    assert main(["capture", "scale", str(out), "--by", "2", "--out", str(out)]) == 0
    assert main(["capture", "anonymise", str(out), "--out", str(out)]) == 0
    assert len(decode_capture(out.read_bytes()).entries) == 100
    assert main(["capture", "merge", str(path), "--out", str(out)]) == 1  # a gatekeeper's file is missing
    path.write_bytes(path.read_bytes()[:-30])
    assert main(["capture", "show", str(path)]) == 1
    capsys.readouterr()
    (tmp_path / "no").write_text("x")
    for arguments in (["show", str(tmp_path / "no")], ["scale", str(out), "--class", "x", "--out", str(out)]):
        assert main(["capture", *arguments]) == 2
        assert len(capsys.readouterr().err.splitlines()) == 1
    assert Path(out).exists()


def test_the_stalling_file_of_the_benchmarks_blocks_writes_while_the_stall_file_exists(tmp_path):
    stall, taken = tmp_path / "stall", tmp_path / "taken"
    stall.touch()

    def files(folder: Path, name: str, max_files: int):
        return lambda start: (folder / name).open("wb", buffering=0)

    file = stalling(files, stall)(tmp_path, "taken", 1)(0)
    started = threading.Event()
    writer = threading.Thread(target=lambda: (started.set(), file.write(b"late")))
    writer.start()
    assert started.wait(5) and taken.read_bytes() == b""
    stall.unlink()
    writer.join(5)
    assert not writer.is_alive() and taken.read_bytes() == b"late"
    file.close()
