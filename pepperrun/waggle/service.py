"""A gatekeeper's part in distribution: its book kept up to date over links, and passed on."""

from __future__ import annotations

from collections.abc import Callable

from pepperrun.comb.records import Guard
from pepperrun.foundation.settings import Settings
from pepperrun.waggle.book import NewsBook


class Subscriber:
    """Runs on each gatekeeper. Readers use `book` (its callbacks run on the loop).

    `row` gives this gatekeeper's own record as it is now; its `serial` grows with each change of state.
    """

    def __init__(self, settings: Settings, life: int, row: Callable[[], Guard]) -> None:
        self.book = NewsBook()
        raise NotImplementedError

    async def start(self) -> None:
        """Listens for other gatekeepers at the siding's TCP port and keeps its links. OSError if the port is taken."""

    def tell(self) -> None:
        """The own row has changed (ready, leaving): said to the core now, not at the next tick."""

    async def close(self) -> None:
        """Ends all links."""
