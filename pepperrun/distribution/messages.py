"""Messages of the relay tree, typed. The wire's short names stand here and nowhere else.

`wire` gives what goes into one frame; `read` takes it apart: KeyError, TypeError or ValueError where a
message can't be meant. Mending of records (`ask`, `cells`, `digests`) is `distribution.repair`'s.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from pepperrun.control.records import GatewayRecord
from pepperrun.foundation.netstring import Message

TICK, TOCK, WANT, CHANGE, AGREED = "tick", "tock", "want", "change", "agreed"


@dataclass(slots=True, frozen=True)
class Tick:
    """A heartbeat from below: the sender's steady clock, the number it holds, whether it wants pushes."""

    sent_at: int
    number: int
    attaches: bool
    gateway: GatewayRecord | None = None  # its own record, where that changed since the last tick

    def wire(self) -> Message:
        """For one frame."""
        message: Message = {"k": TICK, "t": self.sent_at, "n": self.number}
        if self.gateway is not None:
            message["g"] = self.gateway.to_row()
        message["root"] = self.attaches
        return message

    @classmethod
    def read(cls, message: Message) -> Tick:
        """From a frame."""
        gateway = GatewayRecord.from_row(message["g"]) if "g" in message else None
        return cls(message["t"], int(message["n"]), bool(message.get("root")), gateway)


@dataclass(slots=True, frozen=True)
class Tock:
    """The answer to a tick: all that was acknowledged `age_ms` before it was made is in `number`."""

    tick_sent_at: int
    age_ms: int | None  # None: not known
    number: int
    digest: str  # of all records held
    cores: list[list[str]] | None = None  # [ip, zone] of each core machine, where that changed

    def wire(self) -> Message:
        """For one frame."""
        message: Message = {"k": TOCK, "t": self.tick_sent_at, "age": self.age_ms, "n": self.number}
        message["d"] = self.digest
        if self.cores is not None:
            message["cores"] = self.cores
        return message

    @classmethod
    def read(cls, message: Message) -> Tock:
        """From a frame."""
        cores, age = message.get("cores"), message["age"]
        return cls(
            tick_sent_at=int(message["t"]),
            age_ms=None if age is None else int(age),
            number=int(message["n"]),
            digest=str(message["d"]),
            cores=None if cores is None else [[str(ip), str(zone)] for ip, zone in cores],
        )


@dataclass(slots=True, frozen=True)
class Want:
    """Asks for what came after `number`, or for the whole state."""

    number: int
    whole: bool = False

    def wire(self) -> Message:
        """For one frame."""
        message: Message = {"k": WANT, "n": self.number}
        if self.whole:
            message["whole"] = True
        return message

    @classmethod
    def read(cls, message: Message) -> Want:
        """From a frame."""
        return cls(int(message["n"]), bool(message.get("whole")))


@dataclass(slots=True, frozen=True)
class Change:
    """One operation on top of the state with number `base`; `seal` checks what comes out of it."""

    base: int
    number: int
    operation: dict[str, Any]
    seal: str | None

    def wire(self) -> Message:
        """For one frame."""
        numbers = {"k": CHANGE, "base": self.base, "n": self.number}
        return {**numbers, "op": self.operation, "seal": self.seal}

    @classmethod
    def read(cls, message: Message) -> Change:
        """From a frame."""
        return cls(int(message["base"]), int(message["n"]), message["op"], message.get("seal"))


@dataclass(slots=True, frozen=True)
class Agreed:
    """The whole state with this number."""

    number: int
    state: dict[str, Any]

    def wire(self) -> Message:
        """For one frame."""
        return {"k": AGREED, "n": self.number, "state": self.state}

    @classmethod
    def read(cls, message: Message) -> Agreed:
        """From a frame."""
        return cls(int(message["n"]), message["state"])
