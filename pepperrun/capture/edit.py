"""Captures made into others: merged, cut, scaled, anonymised. Does no I/O."""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
import numpy

from pepperrun.capture.format import Capture, Entry, FormatError, Worker, replace_fields

MIN_GAP_US = 5_000_000  # silence of a gatekeeper that is worth a remark
MIN_GAP_MEDIANS = 20  # times the usual time between two requests that counts as a gap, too


def merge(captures: Sequence[Capture]) -> Capture:
    """Several gatekeepers' files, or one's of several spells, as one in the order of time.

    FormatError where they describe different classes or plans. Remarks name files of different keys, whose
    customers can't be matched, the same spell twice, and spells of which a gatekeeper's file is missing.
    """
    if not captures:
        raise FormatError("nothing to merge")
    first = min(captures, key=lambda one: one.header.start_ns)
    out = Capture(msgspec.structs.replace(first.header, gatekeeper="merged", number=0))
    numbers: dict[tuple[str, str], int] = {}
    spans: list[tuple[int, int, int]] = []
    for capture in captures:
        header = capture.header
        if (header.classes, header.plans) != (out.header.classes, out.header.plans):
            raise FormatError(f"{header.gatekeeper}: other classes or plans than {first.header.gatekeeper}")
        if header.key_id != out.header.key_id:
            out.remarks.append(f"{header.gatekeeper}: another key: its customers can't be matched")
        out.remarks += [f"{header.gatekeeper}: {remark}" for remark in capture.remarks]
        out.dropped += capture.dropped
        shift = (header.start_ns - out.header.start_ns) // 1000
        renumbered = {}
        for worker in capture.workers.values():
            key = worker.name, worker.zone
            if key not in numbers:
                numbers[key] = len(numbers)
                out.workers[numbers[key]] = Worker(numbers[key], worker.name, worker.zone)
            renumbered[worker.number] = numbers[key]
        for entry in capture.entries:
            attempts = tuple(
                msgspec.structs.replace(attempt, worker=renumbered[attempt.worker])
                for attempt in entry.attempts
            )
            out.entries.append(replace_fields(entry, at_us=entry.at_us + shift, attempts=attempts))
        if capture.entries:
            times = [entry.at_us + shift for entry in capture.entries]
            spans.append((header.number, min(times), max(times)))
    out.entries.sort(key=lambda entry: (entry.at_us, entry.gatekeeper))
    out.remarks += _find_missing(spans, out.header.gatekeepers)
    return out


def _find_missing(spans: list[tuple[int, int, int]], gatekeepers: int) -> list[str]:
    remarks = []
    have = {number for number, _, _ in spans}
    for number in range(gatekeepers):
        if number not in have:
            remarks.append(f"gatekeeper {number}: no file")
    spans.sort()
    for (number, _, end), (after, start, _) in zip(spans, spans[1:], strict=False):
        if number == after and start < end:
            remarks.append(f"gatekeeper {number}: two files of one spell, or its clock has stepped back")
        if number == after and start - end > MIN_GAP_US:
            remarks.append(f"gatekeeper {number}: nothing from {end / 1e6:.1f} s to {start / 1e6:.1f} s")
    return remarks


def cut(capture: Capture, start_s: float, end_s: float) -> Capture:
    """The spell from `start_s` up to, not including, `end_s`; it counts from 0 again."""
    if not 0 <= start_s < end_s:
        raise FormatError("a spell starts at 0 or later and ends after its start")
    start, end = int(start_s * 1e6), int(end_s * 1e6)
    header = msgspec.structs.replace(capture.header, start_ns=capture.header.start_ns + start * 1000)
    out = _copy_without_entries(capture, header)
    out.entries = [
        replace_fields(entry, at_us=entry.at_us - start)
        for entry in capture.entries
        if start <= entry.at_us < end
    ]
    return out


def scale(
    capture: Capture,
    factor: float,
    classes: Mapping[str, float] | None = None,
    plans: Mapping[str, float] | None = None,
    seed: int = 0,
) -> Capture:
    """The load times a factor, and times that of its class and of its plan.

    A share of a request left over is drawn for; what is added is spread over 50 ms, and half of its customers
    are new ones: more load comes from more customers as well as from busier ones.
    """
    header = capture.header
    for given, known, what in ((classes, header.classes, "class"), (plans, header.plans, "plan")):
        for name, value in (given or {}).items():
            if name not in {one.name for one in known}:
                raise FormatError(f"{what} {name!r}: there is none in the capture")
            if not 0 <= value <= 1000:
                raise FormatError(f"{what} {name!r}: a factor is from 0 to 1000")
    if not 0 <= factor <= 1000:
        raise FormatError("a factor is from 0 to 1000")
    by_class = [(classes or {}).get(one.name, 1.0) for one in header.classes]
    by_plan = [(plans or {}).get(one.name, 1.0) for one in header.plans]
    random = numpy.random.default_rng(seed)
    out = _copy_without_entries(capture, header)
    for entry in capture.entries:
        times = factor * by_class[entry.cls] * by_plan[entry.plan]
        count = int(times) + (random.random() < times - int(times))
        for copy in range(count):
            if copy == 0:
                out.entries.append(entry)
                continue
            later = int(random.integers(0, 50_000))
            customer = entry.customer
            if random.random() < 0.5:
                customer = _rehash_customer(customer, copy.to_bytes(4, "big"))
            out.entries.append(replace_fields(entry, at_us=entry.at_us + later, customer=customer))
    out.entries.sort(key=lambda entry: (entry.at_us, entry.gatekeeper))
    return out


def anonymise(capture: Capture, key: bytes) -> Capture:
    """Customers hashed anew with a key that is then forgotten, workers and gatekeepers numbered."""
    if len(key) < 16:
        raise FormatError("the key: 16 bytes are needed")
    header = msgspec.structs.replace(
        capture.header, gatekeeper=f"gatekeeper-{capture.header.number}", key_id="anonymous"
    )
    out = _copy_without_entries(capture, header)
    zones = sorted({worker.zone for worker in capture.workers.values()})
    out.workers = {
        number: Worker(number, f"worker-{number}", f"zone-{zones.index(worker.zone)}")
        for number, worker in capture.workers.items()
    }
    out.entries = [
        replace_fields(entry, customer=_rehash_customer(entry.customer, key)) for entry in capture.entries
    ]
    return out


def _rehash_customer(customer: int, key: bytes) -> int:
    digest = hashlib.blake2b(customer.to_bytes(8, "big"), digest_size=8, key=key[:64]).digest()
    return int.from_bytes(digest, "big") >> 31  # a customer's number is below 2^33


def _copy_without_entries(capture: Capture, header: Any) -> Capture:
    out = Capture(header)
    out.workers, out.dropped = dict(capture.workers), capture.dropped
    out.remarks, out.complete = list(capture.remarks), capture.complete
    return out


def find_gaps(entries: Sequence[Entry]) -> list[tuple[float, float]]:
    """Spells without a request that are far longer than usual, in seconds."""
    if len(entries) < 3:
        return []
    times = numpy.array([entry.at_us for entry in entries])
    between = numpy.diff(times)
    long = max(MIN_GAP_US, MIN_GAP_MEDIANS * float(numpy.median(between)))
    return [(float(times[at]) / 1e6, float(times[at + 1]) / 1e6) for at in numpy.nonzero(between > long)[0]]


def summarize(capture: Capture) -> dict[str, Any]:
    """What a capture holds, for `show`."""
    entries, header = capture.entries, capture.header
    span = (entries[-1].at_us - entries[0].at_us) / 1e6 if len(entries) > 1 else 0.0
    outcomes = Counter(attempt.outcome for entry in entries for attempt in entry.attempts)
    kinds = {}
    for number, kind in enumerate(header.classes):
        mine = [entry for entry in entries if entry.cls == number]
        took = sorted(entry.took_us / 1000 for entry in mine if entry.end == "served")
        kinds[kind.name] = {
            "requests": len(mine),
            "ends": dict(Counter(entry.end for entry in mine)),
            "p50_ms": took[len(took) // 2] if took else None,
            "p99_ms": took[len(took) * 99 // 100] if took else None,
        }
    return {
        "gatekeeper": header.gatekeeper,
        "gatekeepers": header.gatekeepers,
        "start_ns": header.start_ns,
        "seconds": round(span, 3),
        "requests": len(entries),
        "dropped": capture.dropped,
        "customers": len({entry.customer for entry in entries}),
        "workers": {worker.name: worker.zone for worker in capture.workers.values()},
        "classes": kinds,
        "plans": dict(Counter(header.plans[entry.plan].name for entry in entries)),
        "attempts": dict(outcomes),
        "units_guessed": round(sum(entry.units for entry in entries), 3),
        "units_true": round(sum(entry.true_units for entry in entries), 3),
        "gaps_s": find_gaps(entries),
        "complete": capture.complete,
        "remarks": capture.remarks,
    }
