"""Operations on captures: merge, cut, scale, anonymise and summarize. Does no I/O."""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
import numpy

from pepperrun.capture.format import Capture, Entry, FormatError, Worker, replace_fields

MIN_GAP_US = 5_000_000  # time without a request of a gatekeeper that is reported as a gap
MIN_GAP_MEDIANS = 20  # in `find_gaps` a gap also exceeds this many median intervals between requests


def merge(captures: Sequence[Capture]) -> Capture:
    """Merges captures of several gatekeepers, or of several periods of one, ordered by time.

    Raises FormatError if there is no capture or if classes or plans differ. Remarks report files with
    different hash keys, whose customers can't be matched, files of a gatekeeper that overlap in time,
    gatekeepers without a file, and gaps between two files of a gatekeeper.
    """
    if not captures:
        raise FormatError("no captures to merge")
    first = min(captures, key=lambda one: one.header.start_ns)
    result = Capture(msgspec.structs.replace(first.header, gatekeeper="merged", number=0))
    worker_numbers: dict[tuple[str, str], int] = {}
    spans: list[tuple[int, int, int]] = []
    for capture in captures:
        header = capture.header
        if (header.classes, header.plans) != (result.header.classes, result.header.plans):
            raise FormatError(
                f"{header.gatekeeper}: classes or plans differ from those of {first.header.gatekeeper}"
            )
        if header.key_id != result.header.key_id:
            result.remarks.append(
                f"{header.gatekeeper}: its hash key differs, so its customers can't be matched"
            )
        result.remarks += [f"{header.gatekeeper}: {remark}" for remark in capture.remarks]
        result.dropped += capture.dropped
        shift_us = (header.start_ns - result.header.start_ns) // 1000
        renumbered = {}
        for worker in capture.workers.values():
            name_and_zone = worker.name, worker.zone
            if name_and_zone not in worker_numbers:
                worker_numbers[name_and_zone] = len(worker_numbers)
                result.workers[worker_numbers[name_and_zone]] = Worker(
                    worker_numbers[name_and_zone], worker.name, worker.zone
                )
            renumbered[worker.number] = worker_numbers[name_and_zone]
        for entry in capture.entries:
            attempts = tuple(
                msgspec.structs.replace(attempt, worker=renumbered[attempt.worker])
                for attempt in entry.attempts
            )
            result.entries.append(replace_fields(entry, at_us=entry.at_us + shift_us, attempts=attempts))
        if capture.entries:
            times_us = [entry.at_us + shift_us for entry in capture.entries]
            spans.append((header.number, min(times_us), max(times_us)))
    result.entries.sort(key=lambda entry: (entry.at_us, entry.gatekeeper))
    result.remarks += _find_missing(spans, result.header.gatekeepers)
    return result


def _find_missing(spans: list[tuple[int, int, int]], gatekeepers: int) -> list[str]:
    """Returns remarks on the files' `spans`: gatekeeper number, first and last time in us."""
    remarks = []
    numbers_with_file = {number for number, _, _ in spans}
    for number in range(gatekeepers):
        if number not in numbers_with_file:
            remarks.append(f"gatekeeper {number}: no file")
    spans.sort()
    for (number, _, end), (next_number, start, _) in zip(spans, spans[1:], strict=False):
        if number == next_number and start < end:
            remarks.append(f"gatekeeper {number}: two files overlap in time, or its clock has stepped back")
        if number == next_number and start - end > MIN_GAP_US:
            remarks.append(f"gatekeeper {number}: no requests from {end / 1e6:.1f} s to {start / 1e6:.1f} s")
    return remarks


def cut(capture: Capture, start_s: float, end_s: float) -> Capture:
    """Returns the entries from `start_s` up to, not including, `end_s`, with times relative to `start_s`.

    Raises FormatError if `start_s` is negative or not before `end_s`.
    """
    if not 0 <= start_s < end_s:
        raise FormatError("the start must be 0 s or later, and the end after the start")
    start_us, end_us = int(start_s * 1e6), int(end_s * 1e6)
    header = msgspec.structs.replace(capture.header, start_ns=capture.header.start_ns + start_us * 1000)
    result = _copy_without_entries(capture, header)
    result.entries = [
        replace_fields(entry, at_us=entry.at_us - start_us)
        for entry in capture.entries
        if start_us <= entry.at_us < end_us
    ]
    return result


def scale(
    capture: Capture,
    factor: float,
    classes: Mapping[str, float] | None = None,
    plans: Mapping[str, float] | None = None,
    seed: int = 0,
) -> Capture:
    """Multiplies the load by a factor, and by the factors of the entry's class and plan.

    A fractional number of copies is rounded up with a probability equal to the fraction. Each added copy is
    delayed by a random time below 50 ms. Half of the added copies, drawn at random, get new customers,
    because more load comes from more customers as well as from busier ones. The same `seed` gives the same
    result. Raises FormatError for an unknown class or plan, or a factor outside 0 to 1000.
    """
    header = capture.header
    for requested, known, kind in ((classes, header.classes, "class"), (plans, header.plans, "plan")):
        for name, value in (requested or {}).items():
            if name not in {one.name for one in known}:
                raise FormatError(f"{kind} {name!r} is not in the capture")
            if not 0 <= value <= 1000:
                raise FormatError(f"{kind} {name!r}: the factor must be from 0 to 1000")
    if not 0 <= factor <= 1000:
        raise FormatError("the factor must be from 0 to 1000")
    class_factors = [(classes or {}).get(one.name, 1.0) for one in header.classes]
    plan_factors = [(plans or {}).get(one.name, 1.0) for one in header.plans]
    generator = numpy.random.default_rng(seed)
    result = _copy_without_entries(capture, header)
    for entry in capture.entries:
        multiplier = factor * class_factors[entry.cls] * plan_factors[entry.plan]
        count = int(multiplier) + (generator.random() < multiplier - int(multiplier))
        for copy in range(count):
            if copy == 0:
                result.entries.append(entry)
                continue
            delay_us = int(generator.integers(0, 50_000))
            customer = entry.customer
            if generator.random() < 0.5:
                customer = _rehash_customer(customer, copy.to_bytes(4, "big"))
            result.entries.append(replace_fields(entry, at_us=entry.at_us + delay_us, customer=customer))
    result.entries.sort(key=lambda entry: (entry.at_us, entry.gatekeeper))
    return result


def anonymise(capture: Capture, key: bytes) -> Capture:
    """Replaces names: hashes customers again with `key`, and numbers workers, zones and gatekeepers.

    The caller should discard the key, so that customers can't be matched with those of the original capture.
    Raises FormatError for a key of less than 16 bytes.
    """
    if len(key) < 16:
        raise FormatError("the key must have at least 16 bytes")
    header = msgspec.structs.replace(
        capture.header, gatekeeper=f"gatekeeper-{capture.header.number}", key_id="anonymous"
    )
    result = _copy_without_entries(capture, header)
    zones = sorted({worker.zone for worker in capture.workers.values()})
    result.workers = {
        number: Worker(number, f"worker-{number}", f"zone-{zones.index(worker.zone)}")
        for number, worker in capture.workers.items()
    }
    result.entries = [
        replace_fields(entry, customer=_rehash_customer(entry.customer, key)) for entry in capture.entries
    ]
    return result


def _rehash_customer(customer: int, key: bytes) -> int:
    digest = hashlib.blake2b(customer.to_bytes(8, "big"), digest_size=8, key=key[:64]).digest()
    return int.from_bytes(digest, "big") >> 31  # 33 bits: a customer's number is below 2^33


def _copy_without_entries(capture: Capture, header: Any) -> Capture:
    """Returns a capture with another header and the same workers, counts and remarks, but no entries."""
    result = Capture(header)
    result.workers, result.dropped = dict(capture.workers), capture.dropped
    result.remarks, result.complete = list(capture.remarks), capture.complete
    return result


def find_gaps(entries: Sequence[Entry]) -> list[tuple[float, float]]:
    """Returns start and end, in seconds, of periods without a request that are far longer than usual.

    A gap is longer than `MIN_GAP_US` and than `MIN_GAP_MEDIANS` median intervals between two requests.
    """
    if len(entries) < 3:
        return []
    times_us = numpy.array([entry.at_us for entry in entries])
    intervals_us = numpy.diff(times_us)
    min_gap_us = max(MIN_GAP_US, MIN_GAP_MEDIANS * float(numpy.median(intervals_us)))
    return [
        (float(times_us[index]) / 1e6, float(times_us[index + 1]) / 1e6)
        for index in numpy.nonzero(intervals_us > min_gap_us)[0]
    ]


def summarize(capture: Capture) -> dict[str, Any]:
    """Returns counts, latencies and remarks of a capture, as `pepperrun capture show` prints them."""
    entries, header = capture.entries, capture.header
    duration_s = (entries[-1].at_us - entries[0].at_us) / 1e6 if len(entries) > 1 else 0.0
    outcomes = Counter(attempt.outcome for entry in entries for attempt in entry.attempts)
    by_class = {}
    for number, cls in enumerate(header.classes):
        class_entries = [entry for entry in entries if entry.cls == number]
        latencies_ms = sorted(entry.took_us / 1000 for entry in class_entries if entry.end == "served")
        by_class[cls.name] = {
            "requests": len(class_entries),
            "ends": dict(Counter(entry.end for entry in class_entries)),
            "p50_ms": latencies_ms[len(latencies_ms) // 2] if latencies_ms else None,
            "p99_ms": latencies_ms[len(latencies_ms) * 99 // 100] if latencies_ms else None,
        }
    return {
        "gatekeeper": header.gatekeeper,
        "gatekeepers": header.gatekeepers,
        "start_ns": header.start_ns,
        "seconds": round(duration_s, 3),
        "requests": len(entries),
        "dropped": capture.dropped,
        "customers": len({entry.customer for entry in entries}),
        "workers": {worker.name: worker.zone for worker in capture.workers.values()},
        "classes": by_class,
        "plans": dict(Counter(header.plans[entry.plan].name for entry in entries)),
        "attempts": dict(outcomes),
        "units_guessed": round(sum(entry.units for entry in entries), 3),
        "units_true": round(sum(entry.true_units for entry in entries), 3),
        "gaps_s": find_gaps(entries),
        "complete": capture.complete,
        "remarks": capture.remarks,
    }
