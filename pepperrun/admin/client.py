"""Calls a gatekeeper's second address, as operators' tools do."""

from __future__ import annotations

import json
import socket
from typing import Any

MOST_BYTES = 8_000_000
PATIENCE_S = 3.0


def call(address: tuple[str, int], words: str, patience_s: float = PATIENCE_S) -> bytes:
    """One call of a second address; OSError where it does not answer."""
    with socket.create_connection(address, patience_s) as sock:
        sock.settimeout(patience_s)
        sock.sendall(words.encode() + b"\n")
        held = bytearray()
        while len(held) < MOST_BYTES and (piece := sock.recv(65536)):
            held += piece
    return bytes(held)


def ask(address: tuple[str, int], words: str = "members") -> dict[str, Any]:
    """The answer as a table; ValueError where it is an error."""
    answer = call(address, words)
    if answer.startswith(b"error"):
        raise ValueError(answer.decode(errors="replace").strip())
    table = json.loads(answer)
    if not isinstance(table, dict):
        raise ValueError("not an answer of a gatekeeper")
    return table
