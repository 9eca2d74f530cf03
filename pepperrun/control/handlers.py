"""HTTP handlers for the calls of workers, operators and directory clients, with their request routing."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from pepperrun.consensus.state import Operation
from pepperrun.control.changes import encode_configuration, evacuation_operation
from pepperrun.control.directory import HostHomeRegions, choose_gateways
from pepperrun.control.endpoint_registry import EndpointRegistry, WorkerHeartbeat
from pepperrun.control.evacuation_orders import OVERTAKEN
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
from pepperrun.control.replication_waits import VoterQuorum
from pepperrun.control.table_codec import parse_body
from pepperrun.control.verdict import Verdict, configuration_error
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import event
from pepperrun.foundation.settings import Settings, parse_address

MS = 1_000_000  # ns
REPLICATION_TIMEOUT_S = 0.3  # for other nodes to store a record, before it is acknowledged to a worker
ORDER_TIMEOUT_NS = 850 * MS  # callers try another node after a second without an answer
ORDER_TIMEOUT_NS_PER_KB = 2 * MS  # for each KB of the body, as long ones take longer to distribute
READ_TIMEOUT_S = 0.7  # for the confirmation that the state is the newest
DIRECTORY_TTL_S = 2.0  # how long clients cache an answer of the directory
FALLBACK_TTL_S = 0.5  # the same while no gatekeeper is ready in the regions allowed for a host
RETRY_AFTER_S = 0.2  # sent with a 503
MAX_EDITION_DIGITS = 18

AwaitedAnswer = Awaitable[Answer]


class NodeInterface(Protocol):
    """What the handlers use of the running control node. Times are monotonic ns."""

    settings: Settings
    registry: EndpointRegistry
    is_stopping: bool

    def now(self) -> int:
        """Return the time of the monotonic clock, ns."""
        ...

    def process_pending(self) -> None:
        """Process the output of the node's components after an event."""
        ...

    @property
    def lacks_quorum(self) -> bool:
        """Whether fewer voters than a quorum are reachable."""
        ...

    @property
    def voter_quorum(self) -> VoterQuorum:
        """The majority of the machines that vote."""
        ...

    def replicated(self, token: int) -> asyncio.Future[None]:
        """Return a future that is done once a quorum stores the record that the token stands for."""
        ...

    def order(self, op: Operation, timeout_ns: int) -> asyncio.Future[Verdict | None]:
        """Propose an operator's change; the verdict is None if its result is unknown."""
        ...

    def confirmed(self) -> asyncio.Future[None]:
        """Return a future that is done once the known state is confirmed to be as new as this call."""
        ...

    @property
    def state(self) -> dict[str, Any] | None:
        """The agreed state; None while it is unknown."""
        ...

    def linked_node(self) -> str | None:
        """Return the control address of a linked control node."""
        ...

    def control_address(self, ip: str) -> str:
        """Return the control address of a control node."""
        ...


# Responses.


def detail_answer(status: int, code: str, detail: str = "", retry_after_s: float = 0.0) -> Answer:
    """Return a response with a code for programs and a sentence for people."""
    content = {"code": code, "detail": detail} if detail else {"code": code}
    headers = (("Retry-After", f"{retry_after_s:g}"),) if retry_after_s else ()
    return Answer(status, json.dumps(content).encode(), headers)


def unavailable(code: str, detail: str = "") -> Answer:
    """Return a 503 with Retry-After: another node, or this one later, may serve the call."""
    return detail_answer(503, code, detail, RETRY_AFTER_S)


def _no_quorum() -> Answer:
    return unavailable("minority", "This machine is not linked with a majority.")


def _not_confirmed() -> Answer:
    return unavailable("not-fresh", "It is not known whether what is held is the newest.")


def _uncertain() -> Answer:
    return unavailable("uncertain", "It may be taken or not: ask again.")


class ControlApi:
    """Handlers of the calls on the control port and on the directory port."""

    def __init__(self, node: NodeInterface) -> None:
        self.node = node
        self.host_home_regions = HostHomeRegions()
        self.directory_calls = 0  # seed of the shuffling, so that each answer begins with another gatekeeper

    def control_tree(self) -> Matcher:
        """Return the routing tree of the control port."""
        return any_of(self._worker_calls(), self._configuration_calls(), self._evacuation_calls())

    def _worker_calls(self) -> Matcher:
        heartbeat = segment("beat", _post(self.heartbeat))
        leave = segment("leave", _post(self.worker_ended))
        return segment("crew", variable("id", heartbeat, leave))

    def _configuration_calls(self) -> Matcher:
        replace = method("POST", header("based-on", endpoint(self.configuration_handler(read_replace))))
        amend = method("POST", header("based-on", endpoint(self.configuration_handler(read_amend))))
        read = method("GET", endpoint(self.read_configuration))
        return segment(
            "timetable", segment("replace", replace), segment("amend", amend), segment("read", read)
        )

    def _evacuation_calls(self) -> Matcher:
        begin = segment("begin", _post(self.begin_evacuation))
        finish = segment("finish", _post(self.end_evacuation))
        return segment("evacuate", variable("zone", begin, finish))

    def directory_tree(self) -> Matcher:
        """Return the routing tree of the directory port."""
        return segment("resolve", method("GET", endpoint(self.resolve)))

    # Workers.

    def heartbeat(self, call: Call) -> Answer | AwaitedAnswer:
        """POST /crew/ID/beat: handle a worker's heartbeat."""
        node = self.node
        if node.lacks_quorum:
            return _no_quorum()
        try:
            heartbeat = read_heartbeat(call.values["id"], call.body)
        except PepperrunError as error:
            return detail_answer(400, error.code, error.detail)
        quorum = node.voter_quorum if heartbeat.state is WorkerState.DRAINING else None
        token = node.registry.heartbeat(heartbeat, quorum, node.now())
        node.process_pending()
        body = self._preferred_node_body(heartbeat)
        return Answer(200, body) if token is None else self._once_replicated(token, body)

    def _preferred_node_body(self, heartbeat: WorkerHeartbeat) -> bytes:
        """Return the response body: the node that the worker should call from now on, or an empty object."""
        node = self.node
        zones = node.settings.network.zones
        ip = node.registry.other_preferred_node(heartbeat.id, heartbeat.zone, node.settings.me.zone, zones)
        return json.dumps({"forward_to": node.control_address(ip)}).encode() if ip is not None else b"{}"

    def worker_ended(self, call: Call) -> Answer | AwaitedAnswer:
        """POST /crew/ID/leave: handle a worker's notice that it ends."""
        node = self.node
        if node.lacks_quorum:
            return _no_quorum()
        token = node.registry.worker_ended(call.values["id"], node.voter_quorum, node.now())
        node.process_pending()
        return Answer(200, b"{}") if token is None else self._once_replicated(token, b"{}")

    async def _once_replicated(self, token: int, body: bytes) -> Answer:
        """Acknowledge a record once a majority of the voters stores it.

        Neither the loss of a node undoes it then, nor can the smaller side of a partition acknowledge it.
        """
        try:
            async with asyncio.timeout(REPLICATION_TIMEOUT_S):
                await self.node.replicated(token)
        except TimeoutError:
            self.node.registry.waits.give_up(token)
            return unavailable("not-held", "Too few other machines hold it.")
        return Answer(200, body)

    # Operators.

    def configuration_handler(
        self, read: Callable[[bytes, int], Operation]
    ) -> Callable[[Call], Answer | AwaitedAnswer]:
        """Return the handler of POST /timetable/replace or /timetable/amend."""

        def handle(call: Call) -> Answer | AwaitedAnswer:
            if self.node.lacks_quorum:
                return _no_quorum()
            try:
                op = read(call.body, _base_edition(call))
            except PepperrunError as error:
                return self._refuse(error)
            timeout_ns = ORDER_TIMEOUT_NS + len(call.body) * ORDER_TIMEOUT_NS_PER_KB // 1024
            return self.order(call, op, timeout_ns)

        return handle

    async def _refuse(self, error: PepperrunError) -> Answer:
        """Refuse an invalid configuration after a quorum read, as any order needs a quorum."""
        if not await self._is_confirmed():
            return _not_confirmed()
        event("refused", code=error.code, detail=error.detail)
        return detail_answer(400, error.code, error.detail)

    def begin_evacuation(self, call: Call) -> Answer | AwaitedAnswer:
        """POST /evacuate/ZONE/begin: begin the evacuation of a zone."""
        return self._evacuate(call, begin=True)

    def end_evacuation(self, call: Call) -> Answer | AwaitedAnswer:
        """POST /evacuate/ZONE/finish: end the evacuation of a zone."""
        return self._evacuate(call, begin=False)

    def _evacuate(self, call: Call, *, begin: bool) -> Answer | AwaitedAnswer:
        zone = call.values["zone"]
        # A zone that was evacuated before is known even if it is not in the current settings of this node.
        evacuated_before = (self.node.state or {}).get("evacuations", {})
        if zone not in self.node.settings.network.zones and zone not in evacuated_before:
            return detail_answer(404, "unknown-zone", f"There is no zone {zone}.")
        op = evacuation_operation(zone, begin)
        return self._answer_without_proposal(call) or self._propose_while_awaited(call, op)

    def order(self, call: Call, op: Operation, timeout_ns: int) -> Answer | AwaitedAnswer:
        """Propose an order; a node that shuts down or lacks a quorum redirects or refuses it at once."""
        return self._answer_without_proposal(call) or self._propose(op, timeout_ns)

    def _answer_without_proposal(self, call: Call) -> Answer | None:
        """Return the answer to an order if this node shuts down or lacks a quorum, else None."""
        node = self.node
        other = node.linked_node() if node.is_stopping else None
        if other is not None:
            path = "/" + "/".join(call.path)
            return Answer(307, headers=(("Location", f"http://{other}{path}"),))
        if node.lacks_quorum or node.is_stopping:
            return _no_quorum()
        return None

    async def _propose(self, op: Operation, timeout_ns: int) -> Answer:
        started_at = self.node.now()
        verdict = await self.node.order(op, timeout_ns)
        return self._answer_of(op, verdict, started_at)

    async def _propose_while_awaited(self, call: Call, op: Operation) -> Answer:
        """Propose an evacuation order only on a state that was known while its caller was waiting.

        A caller gives up after a second, repeats the order elsewhere, and may give the opposite order once
        it was acknowledged. So an order whose caller has left is dropped. One that was overtaken by an
        opposite order is proposed again if its caller is waiting even now: it is then the later one.
        """
        node = self.node
        started_at = node.now()
        while (remaining_ns := started_at + ORDER_TIMEOUT_NS - node.now()) > 0:
            if not await call.caller.is_waiting():
                event("order-dropped", zone=op["zone"], begin=op["begin"], why="caller-left")
                break
            verdict = await node.order(op, remaining_ns)
            if verdict is None or verdict.code != OVERTAKEN:
                return self._answer_of(op, verdict, started_at)
            event("order-overtaken", zone=op["zone"], begin=op["begin"])
        return _uncertain()

    def _answer_of(self, op: Operation, verdict: Verdict | None, started_at: int) -> Answer:
        """Return the answer to an order that was proposed; its verdict is None if its result is unknown."""
        if verdict is None:
            return _uncertain()
        _log_order(op, verdict, (self.node.now() - started_at) // MS)
        if verdict.status == 503:
            return unavailable(verdict.code, verdict.detail)
        code = verdict.code or ("ok" if verdict.status == 200 else "stale-base")
        return detail_answer(verdict.status, code, verdict.detail)

    async def read_configuration(self, call: Call) -> Answer:
        """GET /timetable/read: return the configuration in the format in which operators send it."""
        if self.node.lacks_quorum:
            return _no_quorum()
        if not await self._is_confirmed():
            return _not_confirmed()
        return Answer(200, json.dumps(encode_configuration(self.node.state), separators=(",", ":")).encode())

    async def _is_confirmed(self) -> bool:
        """Return whether a quorum answers a read that is sent after this call arrived."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                await self.node.confirmed()
        except TimeoutError:
            return False
        return True

    # Clients.

    def resolve(self, call: Call) -> Answer:
        """GET /resolve: return gatekeepers for a client."""
        node = self.node
        now, bounds = node.now(), node.settings.tariffs.bounds
        self.directory_calls += 1
        chosen = choose_gateways(
            node.registry.ready_gateways(now),
            zone=call.query.get("zone", ""),
            region=call.query.get("region", ""),
            regions=node.settings.network.zones,
            seed=self.directory_calls,
            home_regions=lambda: self.host_home_regions.of(node.state, call.query.get("name", "")),
            restarting=lambda: node.registry.restarting_gateways(int(bounds.contact_ms * MS), now),
        )
        if not chosen.addresses:
            return unavailable("no-gateway", "No gatekeeper is ready.")
        ttl_s = FALLBACK_TTL_S if chosen.is_fallback else DIRECTORY_TTL_S
        ttl_s = min(ttl_s, bounds.ttl_max_s)
        return Answer(200, json.dumps({"addresses": chosen.addresses, "ttl_s": ttl_s}).encode())


def _log_order(op: Operation, verdict: Verdict, took_ms: int) -> None:
    fields = {name: op[name] for name in ("zone", "begin") if name in op}
    known = {"do": op["do"], "edition": op.get("edition", 0), **fields}
    event("order", **known, status=verdict.status, ms=took_ms, detail=verdict.detail)


def _post(handler: Callable[[Call], Answer | AwaitedAnswer]) -> Matcher:
    return method("POST", endpoint(handler))


def _base_edition(call: Call) -> int:
    text = call.values["based-on"].strip()
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_EDITION_DIGITS:
        raise configuration_error("bad-type", f"Based-On is no edition: {text:.40}.")
    return int(text)


def read_heartbeat(worker_id: str, body: bytes) -> WorkerHeartbeat:
    """Return the heartbeat in the body of a call.

    Raises
    ------
    PepperrunError
        `bad-beat`: a field is missing or of the wrong type. `bad-address`: the address is none.
    """
    data = parse_body(body)
    try:
        return _heartbeat_of(worker_id, data, data.get("notice"), data.get("tracking"))
    except (TypeError, KeyError, ValueError, OverflowError, AttributeError) as error:
        detail = f"{type(error).__name__}: {error}"
        raise PepperrunError("bad-beat", "reading a heartbeat", detail, worker_id) from None


def _heartbeat_of(worker_id: str, data: dict[str, Any], notice: Any, tracking: Any) -> WorkerHeartbeat:
    address = data.get("address")
    service = notice["line"]
    zone = notice["zone"]
    state = tracking["state"]
    edition = notice.get("edition") or ""
    if not all(isinstance(text, str) for text in (service, zone, address, state, edition)):
        raise ValueError("a field is no text")
    if state not in (WorkerState.SERVING, WorkerState.DRAINING):
        raise ValueError("the state is not known")
    parse_address(str(address))
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
