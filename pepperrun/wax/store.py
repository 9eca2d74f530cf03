"""The disk of a core machine, on lmdb: what was promised, taken and chosen, each with a checksum."""

from __future__ import annotations

from collections.abc import Sequence

from pepperrun.queen.values import Memory


class Wax:
    """One folder. `disk_mb`: what the disk holds, 0 for no limit told."""

    def __init__(self, folder: str, disk_mb: float = 0) -> None:
        self.folder = folder

    def begin(self, station: str, me: str, first_contacts: Sequence[str]) -> Memory:
        """What is remembered, one start counted, all synced. On an empty disk a new life begins.

        `first_contacts`: ips, only where `first_run` is true, else none: who is among them, with an empty
        disk, begins as one of the first voters. A disk in doubt is emptied, and its life is over.
        """
        raise NotImplementedError

    def save(self, memory: Memory) -> None:
        """Syncs what differs from what was saved last; HiveError `disk-failed`."""

    def close(self) -> None:
        """Ends the use of the folder."""
