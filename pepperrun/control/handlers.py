"""Control calls of workers and operators, and the directory's: matchers over a control node's parts."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from pepperrun.consensus.state import Operation
from pepperrun.control.changes import encode_configuration, evacuation_operation
from pepperrun.control.directory import HostHomeRegions, choose_gateways
from pepperrun.control.endpoint_registry import EndpointRegistry, WorkerHeartbeat
from pepperrun.control.matchers import (
    Answer,
    Call,
    Matcher,
    any_of,
    endpoint,
    header,
    method,
    segment,
    variable,
)
from pepperrun.control.order_codec import read_amend, read_replace
from pepperrun.control.records import WorkerState
from pepperrun.control.table_codec import parse_body
from pepperrun.control.verdict import Verdict, configuration_error
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import event
from pepperrun.foundation.settings import Settings

MS = 1_000_000  # ns
REPLICATION_TIMEOUT_S = 0.3  # for others to confirm that they hold what a worker is told is held
ORDER_TIMEOUT_NS = 850 * MS  # callers move on after a second of silence
ORDER_TIMEOUT_NS_PER_KB = 2 * MS  # for each KB of the body, as long ones take longer to bring
READ_TIMEOUT_S = 0.7  # for a read to be confirmed as the newest
DIRECTORY_TTL_S = 2.0  # for which clients keep what the directory answered
FALLBACK_TTL_S = 0.5  # the same for an answer that is better than none and no more
RETRY_AFTER_S = 0.2  # with a 503
MAX_EDITION_DIGITS = 18
MAX_PORT = 65535

AwaitedAnswer = Awaitable[Answer]


class NodeInterface(Protocol):
    """The parts of the running control node that calls need. Times are steady ns."""

    settings: Settings
    registry: EndpointRegistry
    retiring: bool

    def now(self) -> int:
        """Return the steady clock, ns."""
        ...

    def process_pending(self) -> None:
        """Carry out what follows from an event that a part was given."""
        ...

    @property
    def lacks_quorum(self) -> bool:
        """Whether fewer voters than a quorum are reachable."""
        ...

    @property
    def voter_count(self) -> int:
        """How many machines vote."""
        ...

    def replicated(self, token: int) -> asyncio.Future[None]:
        """Return a future that is done once enough nodes hold what the registry gave this token for."""
        ...

    def order(self, op: Operation, timeout_ns: int) -> asyncio.Future[Verdict | None]:
        """Propose an operator's change; the verdict is None where nothing is certain."""
        ...

    def confirmed(self) -> asyncio.Future[None]:
        """Return a future that is done once what is known is surely at least as new as this call."""
        ...

    @property
    def state(self) -> dict[str, Any] | None:
        """The agreed state, None while none is known."""
        ...

    def other_node(self) -> str | None:
        """Return the control address of a linked control node."""
        ...

    def control_address(self, ip: str) -> str:
        """Return the control address of a control node."""
        ...


# Answers.


def detail_answer(status: int, code: str, detail: str = "", retry_after_s: float = 0.0) -> Answer:
    """Return an answer that says in a sentence what is the matter."""
    content = {"code": code, "detail": detail} if detail else {"code": code}
    headers = (("Retry-After", f"{retry_after_s:g}"),) if retry_after_s else ()
    return Answer(status, json.dumps(content).encode(), headers)


def unavailable(code: str, detail: str = "") -> Answer:
    """Return the answer of a node that can't; another may, or this one later."""
    return detail_answer(503, code, detail, RETRY_AFTER_S)


def _no_quorum() -> Answer:
    return unavailable("minority", "This machine is not linked with a majority.")


def _not_confirmed() -> Answer:
    return unavailable("not-fresh", "It is not known whether what is held is the newest.")


class ControlApi:
    """Answers calls on the control and the directory port."""

    def __init__(self, node: NodeInterface) -> None:
        self.node = node
        self.host_homes = HostHomeRegions()
        self.directory_calls = 0  # so that each begins at another gatekeeper

    def control_tree(self) -> Matcher:
        """Return the matchers of the control port."""
        return any_of(self._worker_calls(), self._configuration_calls(), self._evacuation_calls())

    def _worker_calls(self) -> Matcher:
        beat = segment("beat", _post(self.beat))
        leave = segment("leave", _post(self.leave))
        return segment("crew", variable("id", beat, leave))

    def _configuration_calls(self) -> Matcher:
        replace = method("POST", header("based-on", endpoint(self.change(read_replace))))
        amend = method("POST", header("based-on", endpoint(self.change(read_amend))))
        read = method("GET", endpoint(self.read))
        return segment(
            "timetable", segment("replace", replace), segment("amend", amend), segment("read", read)
        )

    def _evacuation_calls(self) -> Matcher:
        begin = segment("begin", _post(self.begin))
        finish = segment("finish", _post(self.finish))
        return segment("evacuate", variable("zone", begin, finish))

    def directory_tree(self) -> Matcher:
        """Return the matchers of the directory port."""
        return segment("resolve", method("GET", endpoint(self.resolve)))

    # Workers.

    def beat(self, call: Call) -> Answer | AwaitedAnswer:
        """POST /crew/ID/beat: a worker's heartbeat."""
        node = self.node
        if node.lacks_quorum:
            return _no_quorum()
        try:
            heartbeat = read_heartbeat(call.values["id"], call.body)
        except PepperrunError as error:
            return detail_answer(400, error.code, error.detail)
        drains = heartbeat.state is WorkerState.DRAINING
        needed = node.voter_count // 2 if drains else 0
        token = node.registry.heartbeat(heartbeat, needed, node.now())
        node.process_pending()
        body = self._forwarding(heartbeat)
        return Answer(200, body) if token is None else self._once_replicated(token, body)

    def _forwarding(self, heartbeat: WorkerHeartbeat) -> bytes:
        """Return the body that names the node which should get a worker's heartbeats."""
        node = self.node
        zones = node.settings.network.zones
        ip = node.registry.forward_to(heartbeat.id, heartbeat.zone, node.settings.me.zone, zones)
        return json.dumps({"forward_to": node.control_address(ip)}).encode() if ip is not None else b"{}"

    def leave(self, call: Call) -> Answer | AwaitedAnswer:
        """POST /crew/ID/leave: a worker ends."""
        node = self.node
        if node.lacks_quorum:
            return _no_quorum()
        token = node.registry.worker_ended(call.values["id"], node.voter_count // 2, node.now())
        node.process_pending()
        return Answer(200, b"{}") if token is None else self._once_replicated(token, b"{}")

    async def _once_replicated(self, token: int, body: bytes) -> Answer:
        """Acknowledge once so many nodes hold it that a loss does not undo it."""
        try:
            async with asyncio.timeout(REPLICATION_TIMEOUT_S):
                await self.node.replicated(token)
        except TimeoutError:
            self.node.registry.waits.give_up(token)
            return unavailable("not-held", "Too few other machines hold it.")
        return Answer(200, body)

    # The operator.

    def change(self, read: Callable[[bytes, int], Operation]) -> Callable[[Call], Answer | AwaitedAnswer]:
        """Return the handler of POST /timetable/replace or /timetable/amend."""

        def handle(call: Call) -> Answer | AwaitedAnswer:
            if self.node.lacks_quorum:
                return _no_quorum()
            try:
                op = read(call.body, _based_on(call))
            except PepperrunError as error:
                return self._refuse(error)
            timeout_ns = ORDER_TIMEOUT_NS + len(call.body) * ORDER_TIMEOUT_NS_PER_KB // 1024
            return self.order(call, op, timeout_ns)

        return handle

    async def _refuse(self, error: PepperrunError) -> Answer:
        """Refuse what is invalid by itself: by a node that has a quorum, as any order is."""
        if not await self._is_confirmed():
            return _not_confirmed()
        event("refused", code=error.code, detail=error.detail)
        return detail_answer(400, error.code, error.detail)

    def begin(self, call: Call) -> Answer | AwaitedAnswer:
        """POST /evacuate/ZONE/begin: a zone is to be emptied."""
        return self._evacuate(call, begin=True)

    def finish(self, call: Call) -> Answer | AwaitedAnswer:
        """POST /evacuate/ZONE/finish: that is taken back."""
        return self._evacuate(call, begin=False)

    def _evacuate(self, call: Call, *, begin: bool) -> Answer | AwaitedAnswer:
        zone = call.values["zone"]
        # A zone that was evacuated is known, also where this node's settings are not of that day.
        evacuated_before = (self.node.state or {}).get("evacuations", {})
        if zone not in self.node.settings.network.zones and zone not in evacuated_before:
            return detail_answer(404, "unknown-zone", f"There is no zone {zone}.")
        return self.order(call, evacuation_operation(zone, begin), ORDER_TIMEOUT_NS)

    def order(self, call: Call, op: Operation, timeout_ns: int) -> Answer | AwaitedAnswer:
        """Propose an order; a node that stops or has no quorum says so at once."""
        node = self.node
        other = node.other_node() if node.retiring else None
        if other is not None:
            path = "/" + "/".join(call.path)
            return Answer(307, headers=(("Location", f"http://{other}{path}"),))
        if node.lacks_quorum or node.retiring:
            return _no_quorum()
        return self._ordered(op, timeout_ns)

    async def _ordered(self, op: Operation, timeout_ns: int) -> Answer:
        started_at = self.node.now()
        verdict = await self.node.order(op, timeout_ns)
        if verdict is None:
            return unavailable("uncertain", "It may be taken or not: ask again.")
        _log_order(op, verdict, (self.node.now() - started_at) // MS)
        if verdict.status == 503:
            return unavailable(verdict.code, verdict.detail)
        code = verdict.code or ("ok" if verdict.status == 200 else "stale-base")
        return detail_answer(verdict.status, code, verdict.detail)

    async def read(self, call: Call) -> Answer:
        """GET /timetable/read: the configuration as operators put it."""
        if self.node.lacks_quorum:
            return _no_quorum()
        if not await self._is_confirmed():
            return _not_confirmed()
        return Answer(200, json.dumps(encode_configuration(self.node.state), separators=(",", ":")).encode())

    async def _is_confirmed(self) -> bool:
        """Whether a quorum answers a read that is sent after this call came."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                await self.node.confirmed()
        except TimeoutError:
            return False
        return True

    # Clients.

    def resolve(self, call: Call) -> Answer:
        """GET /resolve: gatekeepers for a client."""
        node = self.node
        self.directory_calls += 1
        chosen = choose_gateways(
            node.registry.ready_gateways(node.now()),
            zone=call.query.get("zone", ""),
            region=call.query.get("region", ""),
            regions=node.settings.network.zones,
            seed=self.directory_calls,
            homes=lambda: self.host_homes.of(node.state, call.query.get("name", "")),
        )
        if not chosen.addresses:
            return unavailable("no-gateway", "No gatekeeper is ready.")
        ttl_s = FALLBACK_TTL_S if chosen.is_fallback else DIRECTORY_TTL_S
        ttl_s = min(ttl_s, node.settings.tariffs.bounds.ttl_max_s)
        return Answer(200, json.dumps({"addresses": chosen.addresses, "ttl_s": ttl_s}).encode())


def _log_order(op: Operation, verdict: Verdict, took_ms: int) -> None:
    fields = {name: op[name] for name in ("zone", "begin") if name in op}
    known = {"do": op["do"], "edition": op.get("edition", 0), **fields}
    event("order", **known, status=verdict.status, ms=took_ms, detail=verdict.detail)


def _post(handler: Callable[[Call], Answer | AwaitedAnswer]) -> Matcher:
    return method("POST", endpoint(handler))


def _based_on(call: Call) -> int:
    text = call.values["based-on"].strip()
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_EDITION_DIGITS:
        raise configuration_error("bad-type", f"Based-On is no edition: {text:.40}.")
    return int(text)


def read_heartbeat(worker_id: str, body: bytes) -> WorkerHeartbeat:
    """Return the heartbeat that the body of a call holds.

    Raises
    ------
    PepperrunError
        `bad-beat`: a field is missing or of the wrong type.
    """
    word = parse_body(body)
    try:
        return _heartbeat_of(worker_id, word, word.get("notice"), word.get("tracking"))
    except (TypeError, KeyError, ValueError, OverflowError, AttributeError) as error:
        detail = f"{type(error).__name__}: {error}"
        raise PepperrunError("bad-beat", "reading a heartbeat", detail, worker_id) from None


def _heartbeat_of(worker_id: str, word: dict[str, Any], notice: Any, tracking: Any) -> WorkerHeartbeat:
    address = word.get("address")
    service = notice["line"]
    zone = notice["zone"]
    state = tracking["state"]
    edition = notice.get("edition") or ""
    if not all(isinstance(text, str) for text in (service, zone, address, state, edition)):
        raise ValueError("a field is no text")
    if state not in (WorkerState.SERVING, WorkerState.DRAINING):
        raise ValueError("the state is not known")
    host, _, port = str(address).rpartition(":")
    if not host or not 0 < int(port) <= MAX_PORT:
        raise ValueError("no address")
    return WorkerHeartbeat(
        id=worker_id,
        service=service,
        address=str(address),
        zone=zone,
        edition=edition,
        slots=int(notice.get("berths") or 1),
        state=WorkerState(state),
        warming_ns=int(float(tracking.get("cold_ms") or 0) * MS),
        serial=int(tracking["serial"]),
    )
