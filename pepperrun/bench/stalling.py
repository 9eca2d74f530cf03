"""A gatekeeper whose captures go to a disk that stalls while a file exists, which STALL_FILE names.

`python3 -m pepperrun.bench.stalling`; everything else is the program itself, with its arguments.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, BinaryIO, cast

from pepperrun.__main__ import main
from pepperrun.capture import recorder

LOOK_S = 0.01

Files = Callable[..., Callable[[int], BinaryIO]]


class StallingFile:
    """A file whose writes wait for the stall to end, as those to a disk that does not answer do."""

    def __init__(self, file: BinaryIO, stall: Path) -> None:
        self.file, self.stall = file, stall

    def write(self, data: bytes) -> int:
        """Writes, late."""
        while self.stall.exists():
            time.sleep(LOOK_S)
        return self.file.write(data)

    def close(self) -> None:
        """Closes."""
        self.file.close()


def stalling(rotating_files: Files, stall: Path) -> Files:
    """The recorder's files, on that disk."""

    def files(folder: Path, name: str, max_files: int) -> Callable[[int], BinaryIO]:
        open_file = rotating_files(folder, name, max_files)
        return lambda start_ns: cast(BinaryIO, cast(Any, StallingFile(open_file(start_ns), stall)))

    return files


if __name__ == "__main__":
    recorder.rotating_files = stalling(recorder.rotating_files, Path(os.environ["STALL_FILE"]))
    sys.exit(main(sys.argv[1:]))
