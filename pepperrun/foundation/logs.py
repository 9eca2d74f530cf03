"""Logs by absl: one line of key=value pairs for each event, on standard error."""

from __future__ import annotations

import json
from typing import Any

from absl import flags, logging

from pepperrun import log
from pepperrun.foundation.errors import PepperrunError


def setup(verbose: bool = False) -> None:
    """Lines of the present program's parts become events too."""
    flags.FLAGS.mark_as_parsed()  # absl's own flags stay as they are: argparse reads the command line
    logging.use_absl_handler()
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)
    log.set_sink(lambda kind, text, more: event("said", kind=kind, text=text, more=more))


def _value(value: Any) -> str:
    if isinstance(value, int | float):
        return f"{value:.6g}" if isinstance(value, float) else str(value)
    text = str(value)
    plain = text and all(one.isalnum() or one in "-_.:/+@" for one in text)
    return text if plain else json.dumps(text)


def line(name: str, pairs: dict[str, Any]) -> str:
    """The line of one event."""
    return " ".join([f"event={name}", *(f"{key}={_value(value)}" for key, value in pairs.items())])


def event(name: str, **pairs: Any) -> None:
    """Something has happened that whoever is on call may want to see."""
    logging.info("%s", line(name, pairs))


def log_error(error: PepperrunError, **pairs: Any) -> None:
    """An error has been met and dealt with."""
    what = {"code": error.code, "step": error.step, "peer": error.peer or "-", "detail": error.detail or "-"}
    logging.warning("%s", line("error", what | pairs))
