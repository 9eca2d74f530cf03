"""Errors with codes: each carries the step at which it arose and the peer it concerned."""

from __future__ import annotations


class PepperrunError(Exception):
    """An error of the system. `code` is stable for tools, `step` is what was being done, `peer` with whom."""

    def __init__(self, code: str, step: str, detail: str = "", peer: str = "") -> None:
        where = f"{step}" + (f" with {peer}" if peer else "")
        super().__init__(f"{code} at {where}: {detail}" if detail else f"{code} at {where}")
        self.code, self.step, self.detail, self.peer = code, step, detail, peer
