"""What switches membership on: the key `membership` of a gatekeeper's configuration, or a file like it."""

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
    """Where the keys are, where this gatekeeper stands, and the pace."""

    key_file: Path
    region: str
    zone: str
    probe_period_ns: int
    min_suspicion_ns: int
    names: tuple[str, ...] = ()  # of the gatekeepers, by their numbers

    def load_keys(self) -> KeyRing:
        """The keys as the file has them now; ValueError names the file, never what it holds."""
        try:
            return parse_keys(self.key_file.read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            why = error.strerror if isinstance(error, OSError) else error
            raise ValueError(f"members.key_file: {self.key_file}: {why}") from None


def membership_from_table(table: Mapping[str, Any], folder: Path) -> MembershipConfig:
    """Reads the table; a key file's path counts from the folder of the file that names it."""
    known_keys(table, SETTING_NAMES, "members.")

    def span(key: str, default: float, least: float, most: float) -> int:
        value: float = get(table, key, float, default)
        if not least <= value <= most:
            raise ValueError(f"members.{key}: must be from {least:g} to {most:g}")
        return int(value * NS_PER_MS)

    try:
        return MembershipConfig(
            folder / get(table, "key_file", str, required=True),
            get(table, "region", str, ""),
            get(table, "zone", str, ""),
            span("period_ms", 200, 50, 10_000),
            span("suspect_ms", 250, 50, 60_000),
            tuple(str(name) for name in get(table, "names", list, [])),
        )
    except ValueError as error:
        text = str(error)
        raise ValueError(text if text.startswith("members.") else f"members.{text}") from None


def membership_from_json(text: str, folder: Path) -> MembershipConfig:
    """The operators' file; ValueError names a bad key."""
    table = json_object(text)
    return membership_from_table(table, folder)
