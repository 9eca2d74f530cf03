"""Several runs at the same time. An interrupt ends all of them, and what they started."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

from pepperrun.lab.fault_injection import Say
from pepperrun.lab.run import Run, Seen
from pepperrun.lab.scenario import Scenario


def play(
    plays: Sequence[tuple[Scenario, int]],
    root: Path,
    folder: Path | None,
    lanes: int,
    say: Say,
    done: Callable[[Seen], None],
    stopped: threading.Event | None = None,
) -> None:
    """Plays each scenario with its seed; `done` is told of each, in this thread. RigError where one fails."""
    stopped = stopped or threading.Event()

    def one(scenario: Scenario, seed: int) -> Seen:
        calm = "" if scenario.fault else "-calm"
        kept = folder / f"{scenario.name}-{seed}{calm}" if folder is not None else None
        label = f"{scenario.name} {seed}: "
        return Run(scenario, seed, root, lambda text: say(label + text), kept, lanes > 1, stopped).run()

    if lanes == 1:
        for scenario, seed in plays:
            done(one(scenario, seed))
        return
    # A thread of the pool lives as long as the pool: its children end with it and not before.
    with ThreadPoolExecutor(lanes) as pool:
        futures: list[Future[Any]] = [pool.submit(one, scenario, seed) for scenario, seed in plays]
        try:
            for future in futures:  # in their order: one may be compared with the one before
                done(future.result())
        except BaseException:
            stopped.set()
            pool.shutdown(wait=True, cancel_futures=True)
            raise
