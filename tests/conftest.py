"""Settings for hypothesis: the same examples each time. Lines go to standard error as text again."""

from collections.abc import Iterator

import pytest
from hypothesis import settings

from pepperrun import log

settings.register_profile("same", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("same")


@pytest.fixture(autouse=True)
def plain_lines() -> Iterator[None]:
    """A program's `main` sends lines to its logs, for the whole process."""
    yield
    log.set_sink(None)
