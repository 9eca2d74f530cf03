"""Settings that switch membership on: the key `members` of a gatekeeper's configuration, or a file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pepperrun.config import get, json_object, known_keys
from pepperrun.membership.keys import KeyRing, parse_keys

SETTING_NAMES = "key_file region zone period_ms suspect_ms names"
NS_PER_MS = 1_000_000


@dataclass(slots=True, frozen=True)
class MembershipConfig:
    """Key file, failure domain of this gatekeeper, and intervals of the failure detector."""

    key_file: Path
    region: str
    zone: str
    probe_period_ns: int
    min_suspicion_ns: int
    names: tuple[str, ...] = ()  # of all gatekeepers, indexed by member number

    def load_keys(self) -> KeyRing:
        """Reads the key file again; ValueError names the file, never its contents."""
        try:
            return parse_keys(self.key_file.read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            reason = error.strerror if isinstance(error, OSError) else error
            raise ValueError(f"members.key_file: {self.key_file}: {reason}") from None


def membership_from_table(table: Mapping[str, Any], folder: Path) -> MembershipConfig:
    """Validates the table; a relative key file path starts at `folder`. ValueError names the bad key."""
    known_keys(table, SETTING_NAMES, "members.")

    def duration_ns(key: str, default: float, minimum: float, maximum: float) -> int:
        value: float = get(table, key, float, default)
        if not minimum <= value <= maximum:
            raise ValueError(f"members.{key}: must be from {minimum:g} to {maximum:g}")
        return int(value * NS_PER_MS)

    try:
        return MembershipConfig(
            folder / get(table, "key_file", str, required=True),
            get(table, "region", str, ""),
            get(table, "zone", str, ""),
            duration_ns("period_ms", 200, 50, 10_000),
            duration_ns("suspect_ms", 250, 50, 60_000),
            tuple(str(name) for name in get(table, "names", list, [])),
        )
    except ValueError as error:
        text = str(error)
        raise ValueError(text if text.startswith("members.") else f"members.{text}") from None


def membership_from_json(text: str, folder: Path) -> MembershipConfig:
    """Parses the operator's JSON file; ValueError names a bad key."""
    table = json_object(text)
    return membership_from_table(table, folder)
