"""Keys that sign the members' datagrams: one key signs, up to two are accepted.

A key file has a line for each key, `ID HEX`: a number from 0 to 255 and 16 to 64 bytes in hex digits. The
first key signs. To rotate keys: add the new key as the second line on all machines, then make it the first
line on all machines, then remove the old one. `#` begins a comment.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets

TAG_BYTES = 12  # a forged datagram passes with a probability of 1 in 2**96
MAX_KEYS = 2
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # BLAKE2b takes keys of at most 64 bytes


class KeyRing:
    """Signs and verifies datagrams. ValueError if there is no key or there are too many."""

    def __init__(self, keys: dict[int, bytes]) -> None:
        if not 0 < len(keys) <= MAX_KEYS:
            raise ValueError(f"{len(keys)} keys, expected one or two")
        self.key_by_id = keys
        self.signing_id = next(iter(keys))

    def tag(self, data: bytes, key_id: int) -> bytes:
        """The authentication tag of a datagram; KeyError for an unknown key."""
        return hashlib.blake2b(data, digest_size=TAG_BYTES, key=self.key_by_id[key_id]).digest()

    def verify(self, data: bytes, key_id: int, tag: bytes) -> bool:
        """Whether the tag was made with this key; False also for an unknown key."""
        return key_id in self.key_by_id and hmac.compare_digest(self.tag(data, key_id), tag)


def parse_keys(text: str) -> KeyRing:
    """Parses a key file; ValueError names the invalid line, never its contents."""
    keys: dict[int, bytes] = {}
    for number, line in enumerate(text.splitlines(), 1):
        fields = line.split("#", 1)[0].split()
        if not fields:
            continue
        try:
            key_id, key = int(fields[0]), bytes.fromhex(fields[1])
        except (IndexError, ValueError):
            raise ValueError(f"line {number}: expected `ID HEX`") from None
        if len(fields) > 2 or not 0 <= key_id <= 255 or not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(
                f"line {number}: not a number up to 255 and {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes in hex"
            )
        if key_id in keys:
            raise ValueError(f"line {number}: key ID {key_id} is used twice")
        keys[key_id] = key
    if not keys:
        raise ValueError("the file has no key")
    return KeyRing(keys)


def generate_key_file() -> str:
    """Returns the text of a key file with one random key."""
    return f"# key of the gatekeepers' membership: ID HEX, the first one signs\n1 {secrets.token_hex(32)}\n"
