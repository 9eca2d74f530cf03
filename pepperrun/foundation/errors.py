"""Exception classes of the system. Each error carries the step that failed and the peer involved."""

from __future__ import annotations


class PepperrunError(Exception):
    """Base class of all errors of the system.

    Attributes
    ----------
    code : str
        Stable identifier for tools and responses, such as ``bad-message``.
    step : str
        Operation that failed.
    detail : str
        Explanation for people; may be empty.
    peer : str
        Process at the other end; empty if no peer is involved.
    """

    def __init__(self, code: str, step: str, detail: str = "", peer: str = "") -> None:
        where = f"{step} with {peer}" if peer else step
        super().__init__(f"{code} at {where}: {detail}" if detail else f"{code} at {where}")
        self.code = code
        self.step = step
        self.detail = detail
        self.peer = peer


class RemoteProtocolError(PepperrunError):
    """A peer sent a message that violates the protocol."""


class StorageError(PepperrunError):
    """Base class of errors of durable state."""


class DiskUnavailableError(StorageError):
    """A read or write failed; the data on the disk is not known to be damaged."""

    def __init__(self, step: str, detail: str) -> None:
        super().__init__("disk-failed", step, detail)


class CorruptStateError(StorageError):
    """The data on the disk differs from what was written."""

    def __init__(self, step: str, detail: str) -> None:
        super().__init__("disk-doubtful", step, detail)


class NewerFormatError(StorageError):
    """A later version of the program wrote the data on the disk."""

    def __init__(self, step: str, detail: str) -> None:
        super().__init__("disk-newer", step, detail)


class ForeignDiskError(StorageError):
    """The disk holds the state of another machine."""

    def __init__(self, step: str, detail: str) -> None:
        super().__init__("disk-other", step, detail)
