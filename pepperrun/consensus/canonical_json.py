"""The JSON text of a body, item by item: what did not change since the body before is not written again.

A change touches a few items of thousands, and states share what did not change (`control.changes`). So the
text of an item is kept for as long as the item itself, that very object, is in the last bodies. Items are
never changed in place.
"""

from __future__ import annotations

import json
from json.encoder import encode_basestring
from typing import Any


class Texts:
    """Writes bodies as `json.dumps` does, without spaces. `sort`: all names in order, as digests need it."""

    def __init__(self, sort: bool) -> None:
        self.sort = sort
        self.dump = json.JSONEncoder(separators=(",", ":"), sort_keys=sort, ensure_ascii=False).encode
        self.held: dict[int, tuple[str, Any, str]] = {}  # of the last body, by id(item)
        # Each with its name, itself, and the text of both.
        self.before: dict[int, tuple[str, Any, str]] = {}  # of the body before that
        self.written = 0  # items whose text was not kept

    def of(self, body: dict[str, Any]) -> str:
        """The text of a body."""
        held: dict[int, tuple[str, Any, str]] = {}
        parts = [
            f"{encode_basestring(name)}:{self._section(body[name], held)}"
            for name in (sorted(body) if self.sort else body)
        ]
        self.held, self.before = held, self.held
        return "{" + ",".join(parts) + "}"

    def _section(self, section: Any, held: dict[int, tuple[str, Any, str]]) -> str:
        """A table of items by name; anything else is written as it is."""
        if not isinstance(section, dict) or not all(type(item) is dict for item in section.values()):
            return self.dump(section)
        out: list[str] = []
        for name in sorted(section) if self.sort else section:
            item = section[name]
            kept = self.held.get(id(item)) or self.before.get(id(item))
            if kept is None or kept[0] != name or kept[1] is not item:
                self.written += 1
                kept = (name, item, f"{encode_basestring(name)}:{self.dump(item)}")
            held[id(item)] = kept
            out.append(kept[2])
        return "{" + ",".join(out) + "}"
