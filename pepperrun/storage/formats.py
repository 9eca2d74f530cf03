"""Formats of the disk: one migration from each format to the next, so that every older disk can be read.

A new format gets its number in `CURRENT_FORMAT` and one migration in `MIGRATIONS`, from the format before it.
A migration takes and returns the decoded records (JSON data) by name: `life` (its first item is the format),
`promised`, `accepted`, `chosen`, and `body:DIGEST`. It changes what its format changed and sets the format.
It changes no disk id, count of starts or ballot: a promise stays valid.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from pepperrun.foundation.errors import CorruptStateError, NewerFormatError

CURRENT_FORMAT = 1
# Name on disk of the identity record: format, disk id, starts and owner.
IDENTITY = "life"

Records = dict[str, Any]
Migration = Callable[[Records], Records]

MIGRATIONS: dict[int, Migration] = {}  # by the format that a migration starts from; format 1 is the first


def check_format(found: Any) -> int:
    """Return the format number `found` if this version can read that format.

    Raises
    ------
    CorruptStateError
        `found` is not an integer.
    NewerFormatError
        `found` is the format of a later version.
    """
    if type(found) is not int:
        raise CorruptStateError("reading", f"format {found!r} is not an integer")
    if found > CURRENT_FORMAT:
        raise NewerFormatError(
            "reading", f"the disk has format {found}, but {CURRENT_FORMAT} is the newest known format"
        )
    return found


def migrate(records: Records, found: Any, migrations: Mapping[int, Migration] | None = None) -> Records:
    """Return the records, which have the format `found`, migrated to the current format.

    Raises
    ------
    CorruptStateError
        A migration between `found` and the current format is missing, or one did not set its format.
    NewerFormatError
        `found` is the format of a later version.
    """
    migrations = MIGRATIONS if migrations is None else migrations
    current = check_format(found)
    while current < CURRENT_FORMAT:
        migration = migrations.get(current)
        if migration is None:
            raise CorruptStateError("reading", f"no migration leads on from format {current}")
        records = migration(records)
        current += 1
        if records[IDENTITY][0] != current:
            raise CorruptStateError("reading", f"the migration to format {current} did not set that format")
    return records
