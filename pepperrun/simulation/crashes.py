"""Crashes (drill of the disk): kills and power cuts at random moments of saves.

`python3 -m pepperrun.simulation.crashes`, with checks of each start after it.

Kills: a child saves in a loop and says after each save that it is synced; it is killed at a random moment and
its folder is opened by another. Power cuts: the file's pages before and after each save give what was written
in it. lmdb syncs pages before it writes which of them hold (a head, page 0 or 1), so a cut finds any part of
the pages without the head, or all pages and a part of the head. Each write is there, missing or torn: begun
and not ended, or ended and not begun, at an edge of a sector. With `--unordered` a disk that syncs nothing in
between is played, too: there a doubt is a good answer, and what is found is told apart.
"""

from __future__ import annotations

import argparse
import os
import random
import select
import signal
import struct
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial
from pathlib import Path

from pepperrun.consensus.state import Ballot, DurableState, Proposal, digest_of
from pepperrun.foundation.errors import PepperrunError
from pepperrun.storage.store import DATA_FILE, DiskStore

ME, CONTACTS = "10.0.0.1", ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
PAGE, SECTOR, HEADS = 4096, 512, 2
LONGEST_S = 0.06  # that a child saves before it is killed
START_S = 10.0  # for a child's first word
SAID = struct.Struct("<Q")

Image = bytes


def step(memory: DurableState, round: int, rng: random.Random) -> None:
    """The next change of a made-up history: a promise, sometimes a value taken, sometimes it is chosen."""
    memory.promised = Ballot(round, "x")
    kind = rng.random()
    if kind < 0.5 and memory.chosen is not None:
        body = {"edition": round, "fill": "ž" * int(10 ** rng.uniform(0, 4.5))}
        value = replace(memory.chosen.value, version=round, digest=digest_of(body))
        memory.accepted = Proposal(memory.promised, value, body)
    elif kind < 0.8:
        memory.chosen = memory.accepted


def history(folder: Path, seed: int) -> Iterator[tuple[DiskStore, DurableState]]:
    """Saves one change after the other, for ever; `promised.round` counts them."""
    rng, disk = random.Random(seed), DiskStore(str(folder), 64)
    memory = disk.load_or_create("s", ME, CONTACTS)
    round = max(0, memory.promised.round)
    while True:
        yield disk, memory
        round += 1
        step(memory, round, rng)
        disk.save(memory)


def read(folder: Path) -> DurableState | None:
    """What a start would find: None for nothing at all. PepperrunError where it is in doubt."""
    disk = DiskStore(str(folder), 64)
    try:
        return disk.load()
    finally:
        disk.close()


# Kills.


def _child(folder: Path, seed: int, said: int) -> None:
    for _, memory in history(folder, seed):
        os.write(said, SAID.pack(max(0, memory.promised.round)))


def kill_once(folder: Path, rng: random.Random) -> str:
    """One child, killed; what its folder then is: `whole`, or what is wrong."""
    ear, mouth = os.pipe()
    pid = os.fork()
    if pid == 0:
        try:
            os.close(ear)
            _child(folder, rng.randrange(2**32), mouth)
        finally:
            os._exit(3)
    os.close(mouth)
    try:
        select.select([ear], [], [], START_S)
        time.sleep(rng.uniform(0, LONGEST_S))
    finally:
        os.kill(pid, signal.SIGKILL)
        _, status = os.waitpid(pid, 0)
    heard = b""
    while part := os.read(ear, 1 << 16):
        heard += part
    os.close(ear)
    if not os.WIFSIGNALED(status):
        return "the child ended by itself"
    whole = len(heard) // SAID.size * SAID.size
    synced = SAID.unpack_from(heard, whole - SAID.size)[0] if whole else 0
    try:
        memory = read(folder)
    except PepperrunError as error:
        return f"in doubt: {error.detail}"
    if memory is None:
        return "nothing is there" if whole else "whole"
    found = max(0, memory.promised.round)
    # The pipe holds what was said; at most one save was under way beyond it.
    return "whole" if synced <= found <= synced + 1 else f"synced {synced}, found {found}"


def kills(runs: int, seed: int, folder: Path) -> Counter[str]:
    """So many kills, on one folder that goes on and now and then begins anew."""
    rng, found = random.Random(seed), Counter[str]()
    for run in range(runs):
        found[kill_once(folder / f"kill-{run // 50}", rng)] += 1
    return found


# Power cuts.


def pages(image: Image) -> dict[int, bytes]:
    """The pages of a file."""
    return {at // PAGE: image[at : at + PAGE] for at in range(0, len(image), PAGE)}


def torn(old: bytes, new: bytes, rng: random.Random) -> bytes:
    """A write of a page that was begun and not ended, at any byte, or ended and not begun, at a sector."""
    old = old.ljust(len(new), b"\0")
    if rng.random() < 0.5:
        at = rng.randrange(len(new))
        return new[:at] + old[at:]
    at = rng.randrange(1, PAGE // SECTOR) * SECTOR
    return old[:at] + new[at:]


def cut(before: Image, after: Image, rng: random.Random, ordered: bool) -> tuple[Image, str]:
    """The file after a power cut within a save, and which moment that was."""
    held, written = pages(before), pages(after)
    changed = [at for at, page in written.items() if held.get(at) != page]
    heads = [at for at in changed if at < HEADS]
    moment = "unordered" if not ordered else rng.choice(("pages", "head"))
    drawn = {"pages": [at for at in changed if at >= HEADS], "head": heads, "unordered": changed}[moment]
    out = dict(held)
    if moment == "head":
        out |= {at: written[at] for at in changed if at >= HEADS}
    for at in drawn:
        fate = rng.choice(("there", "missing", "torn"))
        if fate != "missing":
            page = written[at]
            out[at] = page if fate == "there" else torn(held.get(at, b""), page, rng)
    end = max(out) + 1 if out else 0
    return b"".join(out.get(at, bytes(PAGE)).ljust(PAGE, b"\0") for at in range(end)), moment


def judged(folder: Path, image: Image, known: list[DurableState], moment: str) -> str:
    """A start on this file: `whole, before` or `whole, after` the save, `in doubt`, or what is wrong.

    `known`: the memories that were saved, oldest first; the last one by the save in which the power went.
    """
    folder.mkdir(exist_ok=True)
    (folder / DATA_FILE).write_bytes(image)
    try:
        found = read(folder)
    except PepperrunError as error:
        return "in doubt" if moment == "unordered" else f"in doubt: {error.detail}"
    if found == known[-1]:
        return "whole, after"
    if found in known:
        return "whole, before" if found == known[-2] else "whole, of an earlier save"
    return "a memory that never was"


def apart(does: Callable[[], str]) -> str:
    """In a child of its own: a file that makes lmdb fall over takes nobody along."""
    ear, mouth = os.pipe()
    pid = os.fork()
    if pid == 0:
        try:
            os.close(ear)
            os.write(mouth, does().encode()[:4000])
        finally:
            os._exit(0)
    os.close(mouth)
    with os.fdopen(ear, "rb") as file:
        text = file.read().decode()
    _, status = os.waitpid(pid, 0)
    return text if not os.WIFSIGNALED(status) else f"the process fell by signal {os.WTERMSIG(status)}"


def cuts(runs: int, seed: int, folder: Path, unordered: bool = False, saves: int = 40) -> Counter[str]:
    """So many power cuts, drawn over the saves of one history, and one after each save."""
    rng, found, ram = random.Random(seed), Counter[str](), folder / "cut"
    images: list[tuple[Image, DurableState]] = []
    for disk, memory in history(folder / "history", seed):
        images.append(((disk.folder / DATA_FILE).read_bytes(), replace(memory)))
        if len(images) > saves:
            disk.close()
            break
    for image, memory in images:
        wrong = judged(ram, image, [memory], "synced")
        found[f"synced: {wrong}"] += 1
    for _ in range(runs):
        at = rng.randrange(1, len(images))
        (before, was), (after, now) = images[at - 1 : at + 1]
        known = [memory for _, memory in images[: at + 1]]
        image, moment = cut(before, after, rng, not (unordered and rng.random() < 0.5))
        answer = apart(partial(judged, ram, image, known, moment))
        if moment == "pages" and answer == "whole, after" and now != was:
            answer = "a save without its head"
        found[f"{moment}: {answer}"] += 1
    return found


def wrong(found: Counter[str]) -> int:
    """How many of these break what is promised. A disk that keeps no order may cost all but honesty."""
    good = ("whole", "whole, before", "whole, after")
    return sum(
        count for text, count in found.items() if text.partition(": ")[2] not in good and text not in good
    )


def main(arguments: list[str] | None = None) -> int:
    """The command; 1 where a start found less than what was synced, or another thing."""
    parser = argparse.ArgumentParser(prog="python3 -m pepperrun.simulation.crashes", description=__doc__)
    parser.add_argument("--runs", type=int, default=1000, metavar="N", help="of each kind (1000)")
    parser.add_argument("--seed", type=int, default=1, metavar="N")
    parser.add_argument(
        "--folder", type=Path, metavar="DIR", help="on the disk to try (else a temporary one)"
    )
    parser.add_argument(
        "--unordered", action="store_true", help="half of the cuts: a disk that keeps no order"
    )
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(dir=options.folder) as name:
        killed = kills(options.runs, options.seed, Path(name))
        cut_off = cuts(options.runs, options.seed, Path(name), options.unordered)
    for kind, found in (("kills", killed), ("power cuts", cut_off)):
        for text, count in sorted(found.items()):
            print(f"{kind}: {text}: {count}")
    strict = Counter({text: count for text, count in cut_off.items() if not text.startswith("unordered")})
    return int(bool(wrong(killed) + wrong(strict)))


if __name__ == "__main__":
    sys.exit(main())
