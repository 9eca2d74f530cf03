"""Structured logs through absl: one line of key=value pairs for each event, on standard error.

`control_node` and `gateway_node` log in this way; the stand-alone sidecar uses `pepperrun.log` alone.
"""

from __future__ import annotations

import json
from typing import Any

from absl import flags, logging

from pepperrun import log
from pepperrun.foundation.errors import PepperrunError


def setup(verbose: bool = False) -> None:
    """Set up absl, and log the lines of `pepperrun.log` as events.

    Parameters
    ----------
    verbose : bool
        Log debug messages too.
    """
    flags.FLAGS.mark_as_parsed()  # argparse reads the command line, so absl's flags keep their defaults
    logging.use_absl_handler()
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)
    log.set_sink(lambda kind, text, more: event("said", kind=kind, text=text, more=more))


def _value(value: Any) -> str:
    if isinstance(value, int | float):
        return f"{value:.6g}" if isinstance(value, float) else str(value)
    text = str(value)
    plain = text and all(char.isalnum() or char in "-_.:/+@" for char in text)
    return text if plain else json.dumps(text)


def format_event(name: str, pairs: dict[str, Any]) -> str:
    """Return the log line of an event. Values with unusual characters are quoted as JSON."""
    return " ".join([f"event={name}", *(f"{key}={_value(value)}" for key, value in pairs.items())])


def event(name: str, **pairs: Any) -> None:
    """Log an event that an operator may want to see."""
    logging.info("%s", format_event(name, pairs))


def log_error(error: PepperrunError, **pairs: Any) -> None:
    """Log an error that was handled."""
    what = {"code": error.code, "step": error.step, "peer": error.peer or "-", "detail": error.detail or "-"}
    logging.warning("%s", format_event("error", what | pairs))
