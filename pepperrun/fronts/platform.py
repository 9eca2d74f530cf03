"""The platform's protocol: what its requests mean and how its answers read."""

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
_QUOTA = re.compile(rb"[ \t]*(?:units=([0-9]{1,9}(?:\.[0-9]{1,9})?)|(spread|first)=([0-9]{1,9}))[ \t]*\Z")
_CALL_ID = re.compile(rb"[0-9A-Za-z_-]{1,64}\Z")
_CUSTOMER = re.compile(rb"(?:\A|&)customer=([0-9a-fA-F]{1,16})(?:&|\Z)")
MOST_CUSTOMER = 2**33
UPLOAD_NS = 600 * SECOND  # for 32 MB at 64 kB a second; one that stands still ends within seconds


def retry_after(wait_ns: int) -> Fields:
    """Seconds, to the millisecond, rounded up; nothing where no advice is given."""
    if wait_ns <= 0:
        return []
    return [(b"Retry-After", b"%.3f" % (-(-wait_ns // 1_000_000) / 1000))]


class Platform:
    """What all connections of this front share."""

    def __init__(
        self,
        settings: Settings,
        gatekeeper: Gatekeeper,
        clock: Clock,
        auth: AuthService | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.budget = budget  # for bodies that are longer than is held; None: there are none
        self.settings, self.gatekeeper, self.clock, self.auth = settings, gatekeeper, clock, auth
        asking = auth.config.asking if auth is not None else ()
        self.asks = [kind.name in asking for kind in settings.classes]
        self.classes = {kind.name.encode(): number for number, kind in enumerate(settings.classes)}
        self.plans = {plan.name.encode(): number for number, plan in enumerate(settings.plans)}
        self.methods = [b"GET" if kind.repeat is Repeat.SAFE else b"POST" for kind in settings.classes]

    def new_connection(self, listener: Listener) -> PlatformConnection:
        """A new connection."""
        return PlatformConnection(self, listener)

    def read(self, request: Request) -> dict[str, Any] | str:
        """What the exchange is made of, or what is wrong with the request."""
        names = request.headers
        path, _, query = request.target.partition(b"?")
        cls = self.classes.get(path.lstrip(b"/").partition(b"/")[0])
        if cls is None:
            return "no such class"
        customer = _CUSTOMER.search(query)
        if customer is None or int(customer[1], 16) >= MOST_CUSTOMER:
            return "customer: 16 hex digits below 2^33 are needed"
        plan = self.plans.get(names.get(b"x-plan", b""))
        if plan is None:
            return "X-Plan: no such plan"
        if self.methods[cls] == b"POST" and b"idempotency-key" not in names:
            return "Idempotency-Key: missing"
        left_ns = deadline_ns = self.settings.classes[cls].deadline_ns
        if b"x-budget" in names:
            budget = _BUDGET.match(names[b"x-budget"])
            if budget is None:
                return "X-Budget: a number and m or u are needed"
            # A time longer than the class ever waits would only hold the request longer.
            left_ns = min(deadline_ns, int(budget[1]) * (1_000_000 if budget[2] == b"m" else 1_000))
        units, where = 1.0, {b"spread": 1, b"first": self.settings.me}
        for part in filter(None, names.get(b"x-quota", b"").split(b",")):
            match = _QUOTA.match(part)
            if match is None:
                return "X-Quota: can't be read"
            if match[1] is not None:
                units = float(match[1])
            else:
                where[match[2]] = int(match[3])
        # What is out of range would be charged to the customer, or asked of gatekeepers that are not there.
        gateways, spread, first = self.settings.gateways, where[b"spread"], where[b"first"]
        if not 0 < units <= self.settings.max_units or not 0 < spread <= gateways or first >= gateways:
            return "X-Quota: out of range"
        # Workers take a request without an id for none of theirs, and would look bad to the decisions.
        if _CALL_ID.match(names.get(b"x-call-id", b"")) is None:
            return "X-Call-Id: one is needed"
        # One that is still coming has the time that it takes, and its client's from its last byte on.
        more_ns = 0 if request.complete else UPLOAD_NS
        return {
            "cls": cls,
            "plan": plan,
            "customer": int(customer[1], 16),
            "started": request.arrived_at,
            "deadline": request.arrived_at + left_ns + more_ns,
            "wait_after_body_ns": left_ns if more_ns else 0,
            "units": units,
            "spread": spread,
            "first": first,
        }


class PlatformConnection(HttpConnection):
    """A client's connection."""

    def __init__(self, front: Platform, listener: Listener) -> None:
        super().__init__(listener, front.clock, front.budget)
        self.front = front
        self.parts: dict[str, Any] = {}
        self.asking = False

    def handle_request(self, request: Request) -> Submission | Answer:
        if request.target in (b"/ready", b"/health"):
            return self.health(request)
        parts = self.front.read(request)
        if isinstance(parts, str):
            return 404 if parts == "no such class" else 400, [TEXT], f"{parts}\n".encode()
        if request.method != self.front.methods[parts["cls"]]:
            return 405, [(b"Allow", self.front.methods[parts["cls"]]), TEXT], b"not this method\n"
        self.parts, auth = parts, self.front.auth
        if auth is not None and self.front.asks[parts["cls"]]:
            # Granted first; the same budget holds for both steps.
            asked = auth.about(request, self.peer_address())
            self.asking = True
            return auth.step(asked, self.on_final, parts["started"], parts["deadline"])
        return self._book(request, [])

    def _book(self, request: Request, identity: Fields) -> Submission:
        auth = self.front.auth
        request.fields = (
            forwarded_fields(request, auth.untrusted if auth is not None else frozenset()) + identity
        )
        return self.front.gatekeeper, Exchange(request, self.on_final, **self.parts)

    def handle_final(self, final: Final[Any]) -> Submission | Answer:
        auth, request = self.front.auth, self.request
        if auth is not None and request is not None and self.asking:
            self.asking = False
            outcome = auth.verdict(final)
            return self._book(request, outcome.identity) if isinstance(outcome, Granted) else outcome
        match final.end:
            case End.SERVED if final.response is not None:
                given = final.response
                kind = given.headers.get(b"content-type")
                fields = [(b"Content-Type", kind)] if kind else []
                return (200, fields, given.body) if given.complete else (200, fields, given.body, given)
            case End.REFUSED:
                return 429, [TEXT, *retry_after(final.wait_ns)], b"refused: trying again is harmless\n"
            case End.TIMED_OUT:
                return 504, [TEXT], b"out of time\n"
        return 502, [TEXT], b"failed\n"
