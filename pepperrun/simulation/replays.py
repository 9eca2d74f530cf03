"""Replays (drill of the disk): every crash point of a recorded history of the agreement's saves.

`python3 -m pepperrun.simulation.replays`. Five core machines agree in the seeded world while operators
race; one of them keeps its memory on a real folder besides, and the file is looked at before and after each
save. What a loss of power can leave of that save is then gone through, not drawn: its pages in the order in
which lmdb writes them, each there, cut at each sector (the begin or the end of it written), or missing;
then all of them with the head cut at each sector, and whole. Each of these files is started on, and has to
hold the memory before the save or, once the head is there, the one after it. And the world goes on from
that moment with either memory, the machine started anew: all have to agree in the end, with all that was
acknowledged.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import NamedTuple

from pepperrun.consensus.state import DurableState
from pepperrun.foundation.errors import PepperrunError
from pepperrun.simulation.consensus_world import Disk, World
from pepperrun.simulation.crashes import HEADS, PAGE, SECTOR, Image, apart, pages
from pepperrun.storage.store import DATA_FILE, DiskStore

CALM_MS, DOWN_MS, AFTER_MS = 3000, 200, 8000


class Save(NamedTuple):
    """One save: the file and the memory before it and after it."""

    before: Image
    after: Image
    was: DurableState
    now: DurableState


class Recorder(Disk):
    """A machine's disk that is a folder, too. `said`: how the worlds ended that went on from lost power."""

    def __init__(self, world: World, ip: str, folder: Path, goes_on: bool) -> None:
        super().__init__()
        self.world, self.ip, self.goes_on = world, ip, goes_on
        self.synced = replace(world.machines[ip].disk.synced or DurableState(""))
        self.folder, self.disk = folder, DiskStore(str(folder), 64)
        self.disk.owner = ip
        self.disk.save(self.synced)
        self.saves_seen: list[Save] = []
        self.said: Counter[str] = Counter()

    def save(self, memory: DurableState) -> None:
        was, now = replace(self.synced or memory), replace(memory)
        for name, found in (("before", was), ("after", now)) if self.goes_on else ():
            text = apart(lambda found=found: self._power(found))  # type: ignore[misc]
            self.said[f"goes on from {name}: {text or 'agreed'}"] += 1
        image = (self.folder / DATA_FILE).read_bytes()
        self.disk.save(now)
        self.saves_seen.append(Save(image, (self.folder / DATA_FILE).read_bytes(), was, now))
        super().save(memory)
        self.world.copies.saved(self.ip, memory)

    def _power(self, found: DurableState) -> str:
        """In a child: power is lost now, with this on the disk. What is wrong in the end, or nothing."""
        world = self.world
        world.kill(self.ip, power=True)
        disk = world.machines[self.ip].disk = world.disk(self.ip)
        disk.synced = replace(found)
        world.run(DOWN_MS)
        world.start(self.ip)
        world.run(AFTER_MS)
        return world.settled()


def recorded(folder: Path, seed: int, changes: int, goes_on: bool = True) -> Recorder:
    """Operators race at three machines, the recorded one among them, with bodies of many lengths."""
    world = World(5, seed)
    world.run(CALM_MS)
    ips = sorted(world.machines)
    disk = Recorder(world, ips[0], folder, goes_on)
    machine = world.machines[ips[0]]
    assert machine.replica is not None
    machine.disk = machine.replica.register.store = disk
    for edition in range(1, changes + 1):
        fill = "ž" * int(10 ** world.rng.uniform(0, 4))
        on = machine.replica.body.get("edition", 0)
        for at in range(1 + edition % 2):
            world.change(on, 2 * edition + at, ips[at:] + ips[:at], fill=fill)
        world.run(400)
    world.run(2000)
    wrong = world.settled()
    assert not wrong, wrong
    return disk


def _put(held: dict[int, bytes], written: dict[int, bytes]) -> Image:
    out = held | written
    return b"".join(out.get(at, bytes(PAGE)).ljust(PAGE, b"\0") for at in range(max(out) + 1))


def _cut(old: bytes, new: bytes) -> Iterator[bytes]:
    """A page of which a part was written: the begin, or the end, up to or from each sector."""
    old = old.ljust(PAGE, b"\0")
    for at in range(SECTOR, PAGE, SECTOR):
        yield new[:at] + old[at:]
        yield old[:at] + new[at:]


def states(save: Save) -> Iterator[tuple[str, Image]]:
    """Every file that a loss of power in this save may leave, and which moment that is."""
    held, written = pages(save.before), pages(save.after)
    changed = [at for at, page in written.items() if held.get(at) != page]
    body, heads = [at for at in changed if at >= HEADS], [at for at in changed if at < HEADS]
    yield "nothing written", _put(held, {})
    done: dict[int, bytes] = {}
    for at in body:
        for part in _cut(held.get(at, b""), written[at]):
            yield "page cut", _put(held, done | {at: part})
        done[at] = written[at]
        yield "page written", _put(held, done)
    for at in body[:-1]:  # a later one may be there before an earlier one: no order between two syncs
        yield "page missing", _put(held, {one: page for one, page in done.items() if one != at})
    for at in heads:
        for part in _cut(held.get(at, b""), written[at]):
            yield "head cut", _put(held, done | {at: part})
    yield "synced", save.after


def started(folder: Path, image: Image, ip: str, save: Save, moment: str) -> str:
    """What a start on this file finds: `before`, `after`, or what is wrong."""
    folder.mkdir(exist_ok=True)
    (folder / DATA_FILE).write_bytes(image)
    disk = DiskStore(str(folder), 64)
    try:
        memory = disk.load_or_create("s", ip, [])
    except PepperrunError as error:
        return f"{error.code}: {error.detail}"
    finally:
        disk.close()
    before, after = (replace(one, starts=one.starts + 1) for one in (save.was, save.now))
    if memory == after and moment in ("head cut", "synced"):
        return "after"
    if memory == before and moment != "synced":
        return "before"
    return f"another memory: promised {memory.promised}, starts {memory.starts}"


def replay(folder: Path, disk: Recorder) -> Counter[str]:
    """Starts on every state of every save."""
    found: Counter[str] = Counter()
    for save in disk.saves_seen:
        for moment, image in states(save):
            said = apart(lambda: started(folder / "cut", image, disk.ip, save, moment))  # noqa: B023
            found[f"{moment}: {said}"] += 1
    return found


def wrong(disk: Recorder, found: Counter[str]) -> int:
    """How many starts, or days that went on, did not end as they must."""
    bad = sum(count for text, count in found.items() if text.partition(": ")[2] not in ("before", "after"))
    return bad + sum(count for text, count in disk.said.items() if not text.endswith(": agreed"))


def main(arguments: list[str] | None = None) -> int:
    """The command; 1 where a start, or a day that went on, did not end as it must."""
    parser = argparse.ArgumentParser(prog="python3 -m pepperrun.simulation.replays", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, metavar="N")
    parser.add_argument("--changes", type=int, default=12, metavar="N", help="by operators (12)")
    parser.add_argument(
        "--folder", type=Path, metavar="DIR", help="on the disk to try (else a temporary one)"
    )
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(dir=options.folder) as name:
        disk = recorded(Path(name) / "disk", options.seed, options.changes)
        found = replay(Path(name), disk)
    print(f"saves={len(disk.saves_seen)} states={found.total()} days={disk.said.total()}")
    for text, count in sorted((found + disk.said).items()):
        print(f"{text}: {count}")
    return int(bool(wrong(disk, found)))


if __name__ == "__main__":
    sys.exit(main())
