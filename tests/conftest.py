"""Settings for hypothesis: the same examples each time. Lines of the log go to standard error anew."""

import pytest
from hypothesis import settings

from pepperrun import log

settings.register_profile("same", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("same")


@pytest.fixture(autouse=True)
def lines_go_to_standard_error():
    """A test that starts a program of the system leaves its sink of lines behind."""
    yield
    log.send_to(None)
