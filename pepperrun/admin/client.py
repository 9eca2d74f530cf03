"""Sends commands to a gatekeeper's admin address, for operators' tools."""

from __future__ import annotations

import json
import socket
from typing import Any

MAX_RESPONSE_BYTES = 8_000_000
TIMEOUT_S = 3.0


def send_command(address: tuple[str, int], command: str, timeout_s: float = TIMEOUT_S) -> bytes:
    """Returns the answer to a command; raises OSError if the address does not answer in time."""
    with socket.create_connection(address, timeout_s) as sock:
        sock.settimeout(timeout_s)
        sock.sendall(command.encode() + b"\n")
        received = bytearray()
        while len(received) < MAX_RESPONSE_BYTES and (chunk := sock.recv(65536)):
            received += chunk
    return bytes(received)


def query_json(address: tuple[str, int], command: str = "members") -> dict[str, Any]:
    """Returns the JSON object in the answer; raises ValueError if the answer is an error or no object."""
    response = send_command(address, command)
    if response.startswith(b"error"):
        raise ValueError(response.decode(errors="replace").strip())
    table = json.loads(response)
    if not isinstance(table, dict):
        raise ValueError("the answer is not a JSON object")
    return table
