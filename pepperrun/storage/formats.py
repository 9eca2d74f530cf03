"""Formats of the disk: steps from each older one to the next, so that any version's disk is read.

A new format gets its number in `FORMAT` and one step in `STEPS`, from the format before it. Records come and
go by name, opened (as JSON data): `life` (its first item is the format), `promised`, `accepted`, `chosen`,
and `body:DIGEST`. A step changes what its format changed and sets the format; it touches no life, starts or
ballots: what was promised stays promised.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from pepperrun.foundation.errors import PepperrunError

FORMAT = 1

Records = dict[str, Any]
Step = Callable[[Records], Records]

STEPS: dict[int, Step] = {}  # by the format that a step starts from; format 1 is the first there was


def to_present(records: Records, form: Any, steps: Mapping[int, Step] | None = None) -> Records:
    """Records in the present format; raises `disk-newer` or `disk-doubtful` where no steps lead there."""
    steps = STEPS if steps is None else steps
    if type(form) is not int:
        raise PepperrunError("disk-doubtful", "reading", f"format {form!r} is no number")
    if form > FORMAT:
        raise PepperrunError("disk-newer", "reading", f"it is of format {form}, {FORMAT} is known here")
    while form < FORMAT:
        step = steps.get(form)
        if step is None:
            raise PepperrunError("disk-doubtful", "reading", f"no step leads on from format {form}")
        records, form = step(records), form + 1
        if records["life"][0] != form:
            raise PepperrunError(
                "disk-doubtful", "reading", f"the step to format {form} left another one behind"
            )
    return records
