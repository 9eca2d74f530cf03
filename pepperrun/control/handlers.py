"""Control calls of workers and operators, and the directory's: a tree of matchers over the core's parts."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from pepperrun.control.cells import Beat, Cells
from pepperrun.control.changes import Verdict, evacuation, written
from pepperrun.control.directory import choose
from pepperrun.control.matchers import Answer, Call, Matcher, any_of, at, does, each, header, method
from pepperrun.control.records import BOARDING, UNLOADING
from pepperrun.control.validation import Op, parse, read_amend, read_replace, refusal
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import event
from pepperrun.foundation.settings import Settings

MS = 1_000_000
SECOND = 1000 * MS
HELD_S = 0.3  # for others to say that they hold what a worker is to be told is held
PATIENCE = 850 * MS  # for an order: callers move on after a second of silence
PER_KB = 2 * MS  # and for each KB of it, as long ones take longer to bring
FRESH_S = 0.7  # for a read to be known to be the newest
TTL_S = 2.0  # seconds for which clients keep what the directory told
AGAIN_S = 0.2  # when to come back after a 503

Awaited = Awaitable[Answer]


class Core(Protocol):
    """The parts of the running core machine that calls need. Times are steady ns."""

    settings: Settings
    cells: Cells
    retiring: bool

    def now(self) -> int: ...

    def after(self) -> None:
        """Something was told to a part: what follows is to be done."""
        ...

    def minority(self) -> bool:
        """Is it not linked with a majority of those that decide?"""
        ...

    def voters(self) -> int:
        """How many decide."""
        ...

    def held(self, token: int) -> asyncio.Future[None]:
        """Done once enough core machines hold what the cells gave this token for."""
        ...

    def order(self, op: Op, patience: int) -> asyncio.Future[Verdict | None]:
        """An operator's change; None where nothing is certain."""
        ...

    def fresh(self) -> asyncio.Future[None]:
        """Done once the held configuration is known to be at least as new as this call."""
        ...

    def body(self) -> dict[str, Any] | None:
        """The agreed state, None while none is known."""
        ...

    def other(self) -> str | None:
        """The control address of a linked core machine."""
        ...

    def control_of(self, ip: str) -> str:
        """The control address of a core machine."""
        ...


def told(status: int, code: str, detail: str = "", again_s: float = 0.0) -> Answer:
    """An answer that says in a sentence what is the matter."""
    body = json.dumps({"code": code, "detail": detail} if detail else {"code": code}).encode()
    return Answer(status, body, (("Retry-After", f"{again_s:g}"),) if again_s else ())


def not_now(code: str, detail: str = "") -> Answer:
    """This machine can't; another may, or this one later."""
    return told(503, code, detail, AGAIN_S)


def _cut_off() -> Answer:
    return not_now("minority", "This machine is not linked with a majority.")


def _not_fresh() -> Answer:
    return not_now("not-fresh", "It is not known whether what is held is the newest.")


class Control:
    """Answers calls on the control and the directory port."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.asked = 0  # directory calls, so that each begins elsewhere

    def tree(self) -> Matcher:
        """What `control` speaks."""
        post = _poster
        return any_of(
            at("crew", each("id", at("beat", post(self.beat)), at("leave", post(self.leave)))),
            at(
                "timetable",
                at("replace", method("POST", header("based-on", does(self.change(read_replace))))),
                at("amend", method("POST", header("based-on", does(self.change(read_amend))))),
                at("read", method("GET", does(self.read))),
            ),
            at("evacuate", each("zone", at("begin", post(self.begin)), at("finish", post(self.finish)))),
        )

    def directory(self) -> Matcher:
        """What `directory` speaks."""
        return at("resolve", method("GET", does(self.resolve)))

    # Workers.

    def beat(self, call: Call) -> Answer | Awaited:
        """POST /crew/ID/beat"""
        core = self.core
        if core.minority():
            return _cut_off()
        try:
            word = read_beat(call.values["id"], call.body)
        except PepperrunError as error:
            return told(400, error.code, error.detail)
        token = core.cells.beat(word, core.voters() // 2 if word.state == UNLOADING else 0, core.now())
        core.after()
        ip = core.cells.forward(word.id, word.zone, core.settings.me.zone, core.settings.network.zones)
        body = json.dumps({"forward_to": core.control_of(ip)}).encode() if ip is not None else b"{}"
        return Answer(200, body) if token is None else self._once_held(token, body)

    def leave(self, call: Call) -> Answer | Awaited:
        """POST /crew/ID/leave"""
        core = self.core
        if core.minority():
            return _cut_off()
        token = core.cells.leave(call.values["id"], core.voters() // 2, core.now())
        core.after()
        return Answer(200, b"{}") if token is None else self._once_held(token, b"{}")

    async def _once_held(self, token: int, body: bytes) -> Answer:
        """Acknowledged once enough hold it that a loss does not undo it."""
        try:
            async with asyncio.timeout(HELD_S):
                await self.core.held(token)
        except TimeoutError:
            self.core.cells.give_up(token)
            return not_now("not-held", "Too few other machines hold it.")
        return Answer(200, body)

    # The operator.

    def change(self, read: Callable[[bytes, int], Op]) -> Callable[[Call], Answer | Awaited]:
        """POST /timetable/replace and /timetable/amend"""

        def answer(call: Call) -> Answer | Awaited:
            if self.core.minority():
                return _cut_off()
            try:
                op = read(call.body, _based_on(call))
            except PepperrunError as error:
                return self._refused(error)
            return self.order(call, op, PATIENCE + len(call.body) * PER_KB // 1024)

        return answer

    async def _refused(self, error: PepperrunError) -> Answer:
        """What is invalid by itself: refused by a machine that has a majority, as any order is."""
        if not await self._fresh():
            return _not_fresh()
        event("refused", code=error.code, detail=error.detail)
        return told(400, error.code, error.detail)

    def begin(self, call: Call) -> Answer | Awaited:
        """POST /evacuate/ZONE/begin"""
        return self._evacuate(call, True)

    def finish(self, call: Call) -> Answer | Awaited:
        """POST /evacuate/ZONE/finish"""
        return self._evacuate(call, False)

    def _evacuate(self, call: Call, begin: bool) -> Answer | Awaited:
        zone = call.values["zone"]
        # A zone that was emptied is known, also where this machine's settings are not of that day.
        known = (self.core.body() or {}).get("evacuations", {})
        if zone not in self.core.settings.network.zones and zone not in known:
            return told(404, "unknown-zone", f"There is no zone {zone}.")
        return self.order(call, evacuation(zone, begin), PATIENCE)

    def order(self, call: Call, op: Op, patience: int) -> Answer | Awaited:
        """An order goes to all that decide; who stops or can't reach them says so at once."""
        core = self.core
        other = core.other() if core.retiring else None
        if other is not None:
            path = "/" + "/".join(call.path)
            return Answer(307, headers=(("Location", f"http://{other}{path}"),))
        if core.minority() or core.retiring:
            return _cut_off()
        return self._ordered(op, patience)

    async def _ordered(self, op: Op, patience: int) -> Answer:
        begun = self.core.now()
        verdict = await self.core.order(op, patience)
        if verdict is None:
            return not_now("uncertain", "It may be taken or not: ask again.")
        status, detail, *code = verdict
        took = (self.core.now() - begun) // MS
        where = {name: op[name] for name in ("zone", "begin") if name in op}
        known = {"do": op["do"], "edition": op.get("edition", 0), **where}
        event("order", **known, status=status, ms=took, detail=detail)
        if status == 503:
            return not_now(code[0], detail)
        return told(status, code[0] if code else ("ok" if status == 200 else "stale-base"), detail)

    async def read(self, call: Call) -> Answer:
        """GET /timetable/read"""
        if self.core.minority():
            return _cut_off()
        if not await self._fresh():
            return _not_fresh()
        return Answer(200, json.dumps(written(self.core.body()), separators=(",", ":")).encode())

    async def _fresh(self) -> bool:
        """Has a majority answered a question that was asked after this call came?"""
        try:
            async with asyncio.timeout(FRESH_S):
                await self.core.fresh()
        except TimeoutError:
            return False
        return True

    # Clients.

    def resolve(self, call: Call) -> Answer:
        """GET /resolve"""
        core, query = self.core, call.query
        self.asked += 1
        zone, region = query.get("zone", ""), query.get("region", "")
        near = choose(
            core.cells.ready_gateways(core.now()), zone, region, core.settings.network.zones, self.asked
        )
        if not near:
            return not_now("no-gateway", "No gatekeeper is ready.")
        ttl_s = min(TTL_S, core.settings.tariffs.bounds.ttl_max_s)
        return Answer(200, json.dumps({"addresses": near, "ttl_s": ttl_s}).encode())


def _poster(handler: Callable[[Call], Answer | Awaited]) -> Matcher:
    return method("POST", does(handler))


def _based_on(call: Call) -> int:
    text = call.values["based-on"].strip()
    if not (text.isascii() and text.isdigit()) or len(text) > 18:
        raise refusal("bad-type", f"Based-On is no edition: {text:.40}.")
    return int(text)


def read_beat(id: str, body: bytes) -> Beat:
    """A beat's body; PepperrunError where it can't be meant."""
    word = parse(body)
    notice: Any = word.get("notice")
    tracking: Any = word.get("tracking")
    address = word.get("address")
    try:
        line, zone, state = notice["line"], notice["zone"], tracking["state"]
        texts = (line, zone, address, state, notice.get("edition") or "")
        if not all(isinstance(text, str) for text in texts) or state not in (BOARDING, UNLOADING):
            raise ValueError("texts are wanted, and a state that is known")
        host, _, port = str(address).rpartition(":")
        if not host or not 0 < int(port) < 65536:
            raise ValueError("no address")
        cold = int(float(tracking.get("cold_ms") or 0) * MS)
        numbers = int(notice.get("berths") or 1), int(tracking["serial"])
    except (TypeError, KeyError, ValueError, OverflowError, AttributeError) as error:
        raise PepperrunError("bad-beat", "reading a beat", f"{type(error).__name__}: {error}", id) from None
    return Beat(id, line, str(address), zone, texts[4], numbers[0], state, cold, numbers[1])
