"""Results of an operator's order: the verdict, and the error of an invalid configuration."""

from __future__ import annotations

from typing import NamedTuple

from pepperrun.foundation.errors import PepperrunError

STEP = "reading the configuration"


class Verdict(NamedTuple):
    """HTTP status, a sentence for people, and a code for tools; an empty code follows from the status."""

    status: int
    detail: str
    code: str = ""


def configuration_error(code: str, sentence: str) -> PepperrunError:
    """Return the error of an invalid configuration; adds a capital letter and a full stop to the sentence."""
    detail = sentence[:1].upper() + sentence[1:].rstrip()
    return PepperrunError(code, STEP, detail if detail.endswith(".") else detail + ".")
