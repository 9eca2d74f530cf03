"""Errors of the system: one hierarchy, each with the step at which it arose and the peer it concerned."""

from __future__ import annotations


class PepperrunError(Exception):
    """Base of all errors of the system.

    Attributes
    ----------
    code : str
        Stable name for tools and answers, such as ``bad-message``.
    step : str
        What was being done.
    detail : str
        A sentence, or part of one, for people; may be empty.
    peer : str
        With whom it was being done; empty where no peer is concerned.
    """

    def __init__(self, code: str, step: str, detail: str = "", peer: str = "") -> None:
        where = f"{step} with {peer}" if peer else step
        super().__init__(f"{code} at {where}: {detail}" if detail else f"{code} at {where}")
        self.code = code
        self.step = step
        self.detail = detail
        self.peer = peer


class RemoteProtocolError(PepperrunError):
    """A peer sent what the protocol does not allow."""


class StorageError(PepperrunError):
    """Base of the errors of durable state."""


class DiskUnavailableError(StorageError):
    """The disk refuses to read or write now; what it holds is not known to be damaged."""

    def __init__(self, step: str, detail: str) -> None:
        super().__init__("disk-failed", step, detail)


class CorruptStateError(StorageError):
    """What lies on the disk is not what was written."""

    def __init__(self, step: str, detail: str) -> None:
        super().__init__("disk-doubtful", step, detail)


class NewerFormatError(StorageError):
    """A later version wrote the disk."""

    def __init__(self, step: str, detail: str) -> None:
        super().__init__("disk-newer", step, detail)


class ForeignDiskError(StorageError):
    """The disk holds the state of another machine."""

    def __init__(self, step: str, detail: str) -> None:
        super().__init__("disk-other", step, detail)
