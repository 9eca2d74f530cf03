"""JSON text of bodies, encoded item by item; the text of items that did not change is cached.

A change modifies a few items out of thousands, and bodies share the objects that did not change
(`control.changes`). The text of an item is cached as long as the same object is in one of the last two
bodies. This relies on items never being modified in place.
"""

from __future__ import annotations

import json
from json.encoder import encode_basestring
from typing import Any, NamedTuple


class _CachedItem(NamedTuple):
    """An item of a table, its name, and the JSON text of `"name":item`."""

    name: str
    item: Any
    text: str


class CachedJsonEncoder:
    """Encodes bodies to the same text as `json.dumps` without spaces, reusing the text of unchanged items.

    Parameters
    ----------
    sort_keys : bool
        Write all keys in sorted order, so that equal bodies have equal digests.
    """

    def __init__(self, sort_keys: bool) -> None:
        self.sort_keys = sort_keys
        self.encoded_items = 0  # items whose text was not in the cache
        self._dump = json.JSONEncoder(separators=(",", ":"), sort_keys=sort_keys, ensure_ascii=False).encode
        # By id(item). An entry references its item, so no other object can get that id while it is cached.
        self._last: dict[int, _CachedItem] = {}
        self._before_last: dict[int, _CachedItem] = {}

    def encode(self, body: dict[str, Any]) -> str:
        """Return the JSON text of a body, and keep the texts of its items for the next two bodies."""
        used: dict[int, _CachedItem] = {}
        names = sorted(body) if self.sort_keys else body
        parts = [f"{encode_basestring(name)}:{self._section(body[name], used)}" for name in names]
        self._before_last = self._last
        self._last = used
        return "{" + ",".join(parts) + "}"

    def _section(self, section: Any, used: dict[int, _CachedItem]) -> str:
        """Return the text of one top-level field: a table of items item by item, anything else at once."""
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
