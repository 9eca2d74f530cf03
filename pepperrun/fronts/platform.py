"""The front for the platform's protocol: interprets requests and writes the responses."""

from __future__ import annotations

import re
from typing import Any

from pepperrun.core.clock import SECOND
from pepperrun.core.interface import Repeat, Settings
from pepperrun.exchange import End, Exchange, Final
from pepperrun.fronts.client_connection import Submission
from pepperrun.fronts.forward_auth import AuthService, Granted
from pepperrun.fronts.http_connection import TEXT, Answer, Fields, HttpConnection, forwarded_fields
from pepperrun.gatekeeper import Clock, Gatekeeper
from pepperrun.net.http1 import Request
from pepperrun.net.listener import Listener
from pepperrun.net.stream import MemoryBudget

_BUDGET = re.compile(rb"([0-9]{1,15})([mu])\Z")
_QUOTA_ITEM = re.compile(
    rb"[ \t]*(?:units=([0-9]{1,9}(?:\.[0-9]{1,9})?)|(spread|first)=([0-9]{1,9}))[ \t]*\Z"
)
_CALL_ID = re.compile(rb"[0-9A-Za-z_-]{1,64}\Z")
_CUSTOMER = re.compile(rb"(?:\A|&)customer=([0-9a-fA-F]{1,16})(?:&|\Z)")
MAX_CUSTOMER = 2**33  # customer numbers are below
UPLOAD_TIMEOUT_NS = 600 * SECOND  # for 32 MB at 64 kB/s; a stalled body ends within seconds


def retry_after(wait_ns: int) -> Fields:
    """Returns `Retry-After` in seconds, rounded up to the ms; no field without advice (`wait_ns` 0)."""
    if wait_ns <= 0:
        return []
    return [(b"Retry-After", b"%.3f" % (-(-wait_ns // 1_000_000) / 1000))]


class Platform:
    """The state that all connections of this front share."""

    def __init__(
        self,
        settings: Settings,
        gatekeeper: Gatekeeper,
        clock: Clock,
        auth: AuthService | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.budget = budget  # for streamed bodies; None: only buffered ones are accepted
        self.settings, self.gatekeeper, self.clock, self.auth = settings, gatekeeper, clock, auth
        classes_with_auth = auth.config.asking if auth is not None else ()
        self.auth_required = [request_class.name in classes_with_auth for request_class in settings.classes]
        self.classes = {
            request_class.name.encode(): number for number, request_class in enumerate(settings.classes)
        }
        self.plans = {plan.name.encode(): number for number, plan in enumerate(settings.plans)}
        self.methods = [
            b"GET" if request_class.repeat is Repeat.SAFE else b"POST" for request_class in settings.classes
        ]

    def new_connection(self, listener: Listener) -> PlatformConnection:
        """Returns the protocol object of a new connection."""
        return PlatformConnection(self, listener)

    def parse(self, request: Request) -> dict[str, Any] | str:
        """Returns the arguments of the request's exchange, or what is wrong with the request."""
        headers = request.headers
        path, _, query = request.target.partition(b"?")
        cls = self.classes.get(path.lstrip(b"/").partition(b"/")[0])
        if cls is None:
            return "no such class"
        customer = _CUSTOMER.search(query)
        if customer is None or int(customer[1], 16) >= MAX_CUSTOMER:
            return "customer: 16 hex digits below 2^33 are needed"
        plan = self.plans.get(headers.get(b"x-plan", b""))
        if plan is None:
            return "X-Plan: no such plan"
        keyed = self.settings.classes[cls].repeat is Repeat.KEYED
        if keyed and b"idempotency-key" not in headers:
            return "Idempotency-Key: missing"
        left_ns = deadline_ns = self.settings.classes[cls].deadline_ns
        if b"x-budget" in headers:
            budget = _BUDGET.match(headers[b"x-budget"])
            if budget is None:
                return "X-Budget: a number and m or u are needed"
            # A budget above the deadline of the class would only keep the request in flight for longer.
            left_ns = min(deadline_ns, int(budget[1]) * (1_000_000 if budget[2] == b"m" else 1_000))
        units, gateway_set = 1.0, {b"spread": 1, b"first": self.settings.me}
        for item in filter(None, headers.get(b"x-quota", b"").split(b",")):
            match = _QUOTA_ITEM.match(item)
            if match is None:
                return "X-Quota: can't be read"
            if match[1] is not None:
                units = float(match[1])
            else:
                gateway_set[match[2]] = int(match[3])
        # Values out of range would be charged to the customer, or address gateways that do not exist.
        gateways, spread, first = self.settings.gateways, gateway_set[b"spread"], gateway_set[b"first"]
        if not 0 < units <= self.settings.max_units or not 0 < spread <= gateways or first >= gateways:
            return "X-Quota: out of range"
        # Workers do not accept a request without an id as one of theirs, and would look unhealthy for it.
        if _CALL_ID.match(headers.get(b"x-call-id", b"")) is None:
            return "X-Call-Id: one is needed"
        # A request whose body is still arriving has the time for its upload in addition: the client's time
        # counts from the last byte.
        upload_ns = 0 if request.complete else UPLOAD_TIMEOUT_NS
        return {
            "cls": cls,
            "plan": plan,
            "customer": int(customer[1], 16),
            "started": request.arrived_at,
            "deadline": request.arrived_at + left_ns + upload_ns,
            "wait_after_body_ns": left_ns if upload_ns else 0,
            "units": units,
            "spread": spread,
            "first": first,
        }


class PlatformConnection(HttpConnection):
    """A client's connection of the platform's protocol."""

    def __init__(self, front: Platform, listener: Listener) -> None:
        super().__init__(listener, front.clock, front.budget)
        self.front = front
        self.arguments: dict[str, Any] = {}
        self.awaiting_auth = False

    def handle_request(self, request: Request) -> Submission | Answer:
        if request.target in (b"/ready", b"/health"):
            return self.health(request)
        arguments = self.front.parse(request)
        if isinstance(arguments, str):
            return 404 if arguments == "no such class" else 400, [TEXT], f"{arguments}\n".encode()
        if request.method != self.front.methods[arguments["cls"]]:
            return 405, [(b"Allow", self.front.methods[arguments["cls"]]), TEXT], b"not this method\n"
        self.arguments, auth = arguments, self.front.auth
        if auth is not None and self.front.auth_required[arguments["cls"]]:
            # The authentication comes first; both steps share one time budget.
            auth_request = auth.request_about(request, self.peer_address())
            self.awaiting_auth = True
            return auth.submission(auth_request, self.on_final, arguments["started"], arguments["deadline"])
        return self._submission(request, [])

    def _submission(self, request: Request, identity: Fields) -> Submission:
        auth = self.front.auth
        request.fields = (
            forwarded_fields(request, auth.identity_headers if auth is not None else frozenset()) + identity
        )
        return self.front.gatekeeper, Exchange(request, self.on_final, **self.arguments)

    def handle_final(self, final: Final[Any]) -> Submission | Answer:
        auth, request = self.front.auth, self.request
        if auth is not None and request is not None and self.awaiting_auth:
            self.awaiting_auth = False
            verdict = auth.verdict(final)
            return self._submission(request, verdict.identity) if isinstance(verdict, Granted) else verdict
        match final.end:
            case End.SERVED if final.response is not None:
                response = final.response
                content_type = response.headers.get(b"content-type")
                fields = [(b"Content-Type", content_type)] if content_type else []
                return (
                    (200, fields, response.body)
                    if response.complete
                    else (200, fields, response.body, response)
                )
            case End.REFUSED:
                return 429, [TEXT, *retry_after(final.wait_ns)], b"refused: trying again is harmless\n"
            case End.TIMED_OUT:
                return 504, [TEXT], b"out of time\n"
        return 502, [TEXT], b"failed\n"
