"""What hundreds and thousands of changes leave behind: disk, memory, lengths of messages, time to catch up.

    python3 benchmarks/many_changes.py [--changes 5000] [--routes 350] [--long-each 50] [--plot FILE]

Three voters decide each change with the real operations (`control.changes`); one of them keeps its memory on
the real disk store. Most changes are of one route, each `--long-each`-th is of all. At each checkpoint a
line: bytes of the disk file and of what lies in it; the process's resident memory and its number of objects
(three voters, the publisher and a gatekeeper's book together); the usual and the longest message; and what a
machine is sent that comes back then: with its disk of the 20th change, with an empty one, and a gatekeeper
that starts anew, with milliseconds from its start on the disk to the synced answer.
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import random
import shutil
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from pepperrun.consensus import codec
from pepperrun.consensus.register import Register
from pepperrun.consensus.state import DurableState, InMemoryStore, initial_proposal
from pepperrun.control import changes
from pepperrun.control.order_codec import read_amend, read_replace
from pepperrun.control.table_codec import encode_table
from pepperrun.distribution.digests import RangeDigests
from pepperrun.distribution.publisher import Publisher
from pepperrun.distribution.replicated_state import AppliedChange, ReplicatedState
from pepperrun.foundation.netstring import Decoder, encode, wire_length
from pepperrun.simulation.narrow_links import route
from pepperrun.storage.store import DATA_FILE, DiskStore

CONTACTS = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
DISK_MB = 256.0
OLDER = 20  # after so many changes the disk is copied that comes back later


@dataclass
class Row:
    """One checkpoint."""

    changes: int
    file_bytes: int
    records_bytes: int
    objects: int
    resident_mb: float
    usual_message: int
    longest_message: int
    returns: dict[str, tuple[int, float]] = field(default_factory=dict)  # bytes on the link, ms


class Port:
    """A link's end that keeps what is written."""

    name = "gate"

    def __init__(self) -> None:
        self.frames: list[bytes] = []

    def write(self, frame: bytes) -> None:
        self.frames.append(frame)

    def unsent(self) -> int:
        return 0

    def close(self) -> None: ...


class Core:
    """Three voters, the publisher of the first, and a gatekeeper's book under it."""

    def __init__(self, folder: Path, routes: int, seed: int) -> None:
        self.rng, self.folder, self.edition = random.Random(seed), folder, 0
        self.now, self.sizes = 1, list[int]()
        self.voters: dict[str, Register] = {}
        self.disk = DiskStore(str(folder), DISK_MB)
        first = initial_proposal(CONTACTS)
        for ip in CONTACTS:
            if ip == CONTACTS[0]:
                memory, store = self.disk.load_or_create("core-0", ip, CONTACTS), self.disk
                self.voters[ip] = Register(ip, memory, store, changes.apply, seed=1, now=0)
            else:
                memory = DurableState("first", 1, accepted=first, chosen=first)
                self.voters[ip] = Register(ip, memory, InMemoryStore(), changes.apply, seed=1, now=0)
        self.items = [route(self.rng, at) for at in range(routes)]
        self.replicated, self.port = ReplicatedState(), Port()
        self.publisher = Publisher(self, lambda due: None)
        self.publisher.opened(self.port, {}, 0)
        self.publisher.received(self.port, {"k": "tick", "t": 1, "n": 0, "root": True}, 1)

    # Source of the publisher.

    workers: dict[str, Any] = {}
    gateways: dict[str, Any] = {}
    control_nodes: list[list[str]] = []
    digests = RangeDigests()

    @property
    def first(self) -> Register:
        """The voter with the disk."""
        return self.voters[CONTACTS[0]]

    @property
    def version(self) -> int:
        held = self.first.state.chosen
        return held.value.version if held else 0

    @property
    def state(self) -> dict[str, Any] | None:
        held = self.first.state.chosen
        return held.body if held and held.body else None

    def age_ms(self, now: int) -> float | None:
        return 1.0

    def gateway_heartbeat(self, gateway: Any, now: int) -> None: ...

    def merge(self, workers: Any, gateways: Any, now: int) -> None: ...

    # Changes.

    def settle(self) -> None:
        """All messages go over, as JSON."""
        moved = True
        while moved:
            moved = False
            for ip, one in self.voters.items():
                one.flush()
                sent, one.outbox = one.outbox, []
                for to, message in sent:
                    frame = encode({"k": "queen", "m": codec.encode(message)})
                    self.sizes.append(wire_length(frame))
                    moved = True
                    self.voters[to].receive(ip, codec.decode(Decoder().feed(frame)[0]["m"]), self.now)

    def change(self, long: bool) -> None:
        """An operator's next configuration, at one machine after the other."""
        self.edition += 1
        self.now += 1_000_000_000
        op = self.whole() if long else self.amendment()
        one = self.voters[CONTACTS[self.edition % 3]]
        held = one.state.chosen
        one.highest_ballot = max(other.highest_ballot for other in self.voters.values())
        one.submit(changes.compact(held.body if held and held.body else None, op), 1 << 62)
        one.start_round(self.now)
        self.settle()
        one.results.clear()
        for other in self.voters.values():
            other.flush(include_deferred=True)  # that it was chosen is kept, too
        self.tell()

    def whole(self) -> dict[str, Any]:
        """All routes are others."""
        self.items = [route(self.rng, at) for at in range(len(self.items))]
        tables = {"routes": encode_table({one["name"]: one for one in self.items})}
        lines = {f"line{at}": {"name": f"line{at}"} for at in range(3)}
        body = {"edition": self.edition, **tables, "carrier_lines": encode_table(lines), "limits": {}}
        return read_replace(json.dumps(body).encode(), self.edition - 1)

    def amendment(self) -> dict[str, Any]:
        """One route is another."""
        at = self.rng.randrange(len(self.items))
        gone, self.items[at] = self.items[at]["name"], route(self.rng, at)
        upsert = {"routes": encode_table({self.items[at]["name"]: self.items[at]})}
        body = {"edition": self.edition, "upsert": upsert, "withdraw": {"routes": [gone]}}
        return read_amend(json.dumps(body).encode(), self.edition - 1)

    def tell(self) -> None:
        """What has changed goes to the gatekeeper."""
        for other in self.voters.values():
            for change in other.changes:
                if other is self.first:
                    known = (change.base_version, change.operation) if change.operation is not None else None
                    self.publisher.state_changed(known, self.now)
            other.changes.clear()
        take(self.replicated, self.port)
        said = {"k": "tick", "t": self.now, "n": self.replicated.version, "root": True}
        self.publisher.received(self.port, said, self.now)
        self.port.frames.clear()

    # Who comes back.

    def back(self, memory: DurableState, store: Any) -> tuple[int, float]:
        """A machine asks what is chosen: bytes of the answer, and ms until it is synced."""
        began = time.perf_counter()
        one = Register("10.0.0.9", memory, store, changes.apply, seed=1, now=self.now)
        one.request_catch_up(CONTACTS[0])
        one.flush()
        ((_, question),) = one.outbox
        self.first.receive("10.0.0.9", codec.decode(json.loads(json.dumps(codec.encode(question)))), self.now)
        ((_, answer),) = self.first.outbox
        self.first.outbox.clear()
        frame = encode({"k": "queen", "m": codec.encode(answer)})
        one.receive(CONTACTS[0], codec.decode(Decoder().feed(frame)[0]["m"]), self.now)
        one.flush(include_deferred=True)
        assert one.state.chosen == self.first.state.chosen
        return wire_length(frame), (time.perf_counter() - began) * 1000

    def returns(self, older: Path, spare: Path) -> dict[str, tuple[int, float]]:
        """Machines that come back now."""
        out: dict[str, tuple[int, float]] = {}
        for name, folder in (("with its disk", older), ("without", None)):
            shutil.rmtree(spare, ignore_errors=True)
            if folder is not None:
                shutil.copytree(folder, spare)
            began, disk = time.perf_counter(), DiskStore(str(spare), DISK_MB)
            memory = disk.load_or_create(
                "core-0" if folder else "core-9", CONTACTS[0] if folder else "10.0.0.9", []
            )
            started = (time.perf_counter() - began) * 1000
            size, ms = self.back(memory, disk)
            out[name] = size, started + ms
            disk.close()
        began, port, book = time.perf_counter(), Port(), ReplicatedState()
        self.publisher.opened(port, {}, self.now)
        self.publisher.received(port, {"k": "want", "n": 0}, self.now)
        take(book, port)
        out["gatekeeper"] = sum(map(wire_length, port.frames)), (time.perf_counter() - began) * 1000
        assert book.version == self.version == self.replicated.version
        self.publisher.closed(port, self.now)
        return out


def take(book: ReplicatedState, port: Port) -> None:
    """A gatekeeper reads what was written."""
    for frame in port.frames:
        for message in Decoder().feed(frame):
            if message["k"] == "agreed":
                book.update_state(message["n"], message["state"])
            elif message["k"] == "change" and message["base"] == book.version:
                state, _ = changes.apply(book.state, message["op"])
                assert state is not None
                change = AppliedChange(message["base"], message["op"])
                book.update_state(message["n"], state, change)


def played(given: argparse.Namespace, folder: Path) -> list[Row]:
    """All changes; a row at each checkpoint."""
    core, rows = Core(folder / "disk", given.routes, given.seed), list[Row]()
    points = [at for at in (100, 500, 1000, 2000, 3000, 4000, 5000) if at < given.changes] + [given.changes]
    for at in range(1, given.changes + 1):
        core.change(long=at == 1 or at % given.long_each == 0)
        if at == OLDER:
            shutil.copytree(folder / "disk", folder / "older")
        if at in points:
            gc.collect()
            used = core.disk.used_bytes()
            row = Row(
                at,
                (folder / "disk" / DATA_FILE).stat().st_size,
                used,
                len(gc.get_objects()),
                resident_mb(),
                int(statistics.median(core.sizes)),
                max(core.sizes),
                core.returns(folder / "older", folder / "spare"),
            )
            rows.append(row)
            core.sizes.clear()
            print(line(row), flush=True)
    return rows


def resident_mb() -> float:
    """Of this process, now."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def line(row: Row) -> str:
    """For people and for the page's table."""
    cells = [str(row.changes), f"{row.file_bytes / 1000:.0f}", f"{row.records_bytes / 1000:.0f}"]
    cells += [str(row.objects), f"{row.resident_mb:.0f}"]
    cells += [str(row.usual_message), str(row.longest_message)]
    cells += [f"{size / 1000:.1f} KB, {ms:.0f} ms" for size, ms in row.returns.values()]
    return "| " + " | ".join(cells) + " |"


HEAD = (
    "| changes | file KB | records KB | objects | resident MB | usual message B | longest B"
    " | back with its disk | without | gatekeeper |\n|" + " --- |" * 10
)


def plot(rows: list[Row], path: Path) -> None:
    """Four panels over the number of changes."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, panels = pyplot.subplots(2, 2, figsize=(10, 6), sharex=True)
    at = [row.changes for row in rows]
    (disk, memory), (sizes, times) = panels
    disk.plot(at, [row.file_bytes / 1e6 for row in rows], "o-", label="file")
    disk.plot(at, [row.records_bytes / 1e6 for row in rows], "o-", label="records in it")
    disk.set_ylabel("disk, MB")
    memory.plot(at, [row.resident_mb for row in rows], "o-", label="3 voters, publisher, a book")
    memory.set_ylabel("resident memory, MB")
    sizes.plot(at, [row.longest_message / 1e3 for row in rows], "o-", label="longest message")
    sizes.plot(at, [row.usual_message / 1e3 for row in rows], "o-", label="usual message")
    sizes.set_ylabel("KB on a link")
    for name in rows[0].returns:
        times.plot(at, [row.returns[name][1] for row in rows], "o-", label=f"back: {name}")
    times.set_ylabel("to catch up, ms of processor and disk")
    for panel in panels.flat:
        panel.set_ylim(bottom=0)
        panel.set_xlabel("changes")
        panel.legend(fontsize=8)
        panel.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name, default in (("changes", 5000), ("routes", 350), ("long-each", 50), ("seed", 1)):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--plot", type=Path, help="a picture of it")
    given = parser.parse_args()
    print(HEAD)
    with tempfile.TemporaryDirectory() as folder:
        rows = played(given, Path(folder))
    if given.plot:
        plot(rows, given.plot)


if __name__ == "__main__":
    main()
