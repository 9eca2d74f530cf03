"""JSON text of bodies, encoded item by item: what did not change since the last body is not encoded again.

A change touches a few items of thousands, and bodies share what did not change (`control.changes`). So the
text of an item is cached for as long as that very object is in one of the last two bodies. Items are never
changed in place.
"""

from __future__ import annotations

import json
from json.encoder import encode_basestring
from typing import Any, NamedTuple


class _CachedItem(NamedTuple):
    """An item of a table with its name and the text of both."""

    name: str
    item: Any
    text: str


class CachedJsonEncoder:
    """Encode bodies as `json.dumps` does, without spaces.

    Parameters
    ----------
    sort_keys : bool
        Write all keys in order, as digests need it.
    """

    def __init__(self, sort_keys: bool) -> None:
        self.sort_keys = sort_keys
        self.encoded_items = 0  # items whose text was not in the cache
        self._dump = json.JSONEncoder(separators=(",", ":"), sort_keys=sort_keys, ensure_ascii=False).encode
        # By id(item). An entry holds its item, so no other object has that id meanwhile.
        self._last: dict[int, _CachedItem] = {}
        self._before_last: dict[int, _CachedItem] = {}

    def encode(self, body: dict[str, Any]) -> str:
        """Return the text of a body."""
        used: dict[int, _CachedItem] = {}
        names = sorted(body) if self.sort_keys else body
        parts = [f"{encode_basestring(name)}:{self._section(body[name], used)}" for name in names]
        self._before_last = self._last
        self._last = used
        return "{" + ",".join(parts) + "}"

    def _section(self, section: Any, used: dict[int, _CachedItem]) -> str:
        """Encode a table of items by name; anything else is encoded as it is."""
        if not isinstance(section, dict) or not all(type(item) is dict for item in section.values()):
            return self._dump(section)
        texts: list[str] = []
        for name in sorted(section) if self.sort_keys else section:
            cached = self._item(name, section[name])
            used[id(cached.item)] = cached
            texts.append(cached.text)
        return "{" + ",".join(texts) + "}"

    def _item(self, name: str, item: Any) -> _CachedItem:
        cached = self._last.get(id(item)) or self._before_last.get(id(item))
        if cached is not None and cached.name == name and cached.item is item:
            return cached
        self.encoded_items += 1
        return _CachedItem(name, item, f"{encode_basestring(name)}:{self._dump(item)}")
