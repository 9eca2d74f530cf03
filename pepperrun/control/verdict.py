"""Verdict on an order: what an operator is answered."""

from __future__ import annotations

from typing import NamedTuple


class Verdict(NamedTuple):
    """HTTP status, a sentence for people, and a code for tools; without one the status stands for it."""

    status: int
    detail: str
    code: str = ""
