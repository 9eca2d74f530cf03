"""What an operator is answered: the verdict on an order, and the error of an order that is not valid."""

from __future__ import annotations

from typing import NamedTuple

from pepperrun.foundation.errors import PepperrunError

STEP = "reading the configuration"


class Verdict(NamedTuple):
    """HTTP status, a sentence for people, and a code for tools; without one the status stands for it."""

    status: int
    detail: str
    code: str = ""


def configuration_error(code: str, sentence: str) -> PepperrunError:
    """Return the error that says why a configuration is not taken, its sentence made whole."""
    whole = sentence[:1].upper() + sentence[1:].rstrip()
    return PepperrunError(code, STEP, whole if whole.endswith(".") else whole + ".")
