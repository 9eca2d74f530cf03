"""Host names as clients and configurations write them."""

from __future__ import annotations


def host_of(text: bytes) -> bytes:
    """Return the host in lower case, without its port. An IPv6 address keeps its brackets."""
    text = text.strip().lower()
    if text.startswith(b"["):
        return text.partition(b"]")[0] + b"]"
    return text.partition(b":")[0]
