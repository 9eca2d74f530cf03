"""The keys that members' datagrams are signed with: one that signs, up to two that are believed.

A key file has a line for each key, `ID HEX`: a number from 0 to 255 and 16 to 64 bytes in hex digits. The
first one signs. To rotate: add the new key as the second line everywhere, then make it the first one
everywhere, then drop the old one. `#` begins a comment.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets

TAG_BYTES = 12  # bytes of a tag: a forger has one chance in 2**96 for each try
MAX_KEYS = 2
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # bytes of a key; BLAKE2b takes no more


class KeyRing:
    """Signs and believes. ValueError where there is no key or there are too many."""

    def __init__(self, keys: dict[int, bytes]) -> None:
        if not 0 < len(keys) <= MAX_KEYS:
            raise ValueError(f"{len(keys)} keys, not one or two")
        self.key_by_id = keys
        self.signing_id = next(iter(keys))

    def tag(self, data: bytes, number: int) -> bytes:
        """The tag of a datagram under a key that is known."""
        return hashlib.blake2b(data, digest_size=TAG_BYTES, key=self.key_by_id[number]).digest()

    def verify(self, data: bytes, number: int, tag: bytes) -> bool:
        """Was it signed with this key? False as well where the key is not known."""
        return number in self.key_by_id and hmac.compare_digest(self.tag(data, number), tag)


def parse_keys(text: str) -> KeyRing:
    """The keys of a file; ValueError says which line is no good, and never what it holds."""
    keys: dict[int, bytes] = {}
    for number, line in enumerate(text.splitlines(), 1):
        words = line.split("#", 1)[0].split()
        if not words:
            continue
        try:
            name, key = int(words[0]), bytes.fromhex(words[1])
        except (IndexError, ValueError):
            raise ValueError(f"line {number}: not `ID HEX`") from None
        if len(words) > 2 or not 0 <= name <= 255 or not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(
                f"line {number}: not a number up to 255 and {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes in hex"
            )
        if name in keys:
            raise ValueError(f"line {number}: key {name} is there twice")
        keys[name] = key
    if not keys:
        raise ValueError("no key")
    return KeyRing(keys)


def generate_key_file() -> str:
    """A file with one fresh key."""
    return f"# key of the gatekeepers' membership: ID HEX, the first one signs\n1 {secrets.token_hex(32)}\n"
