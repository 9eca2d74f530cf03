"""Forward authentication over HTTP: answering other proxies, and asking before a booking.

The question goes to an authentication server as a GET with `X-Forwarded-Method`, `-Proto`, `-Host`, `-Uri`
and `-For`. It is an exchange of a safe class on the same core as any other. Whatever is not a clear grant is
none: this front fails closed.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pepperrun.config import AuthConfig
from pepperrun.core.clock import SECOND
from pepperrun.core.interface import Outcome
from pepperrun.exchange import End, Exchange, Final
from pepperrun.fronts.client_connection import Submission
from pepperrun.fronts.http_connection import TEXT, Answer, Fields, HttpConnection, forwarded_fields
from pepperrun.gatekeeper import Clock, Gatekeeper
from pepperrun.net.http1 import Message, Request, Response
from pepperrun.net.listener import Listener

FORWARDED = tuple(b"x-forwarded-" + name for name in (b"method", b"proto", b"host", b"uri", b"for"))
NEEDED = FORWARDED[0], FORWARDED[2], FORWARDED[3]
DEFINITE = frozenset((301, 302, 303, 307, 308, 401, 403))
# Of the asked request and not of the question.
NOT_ASKED = frozenset((b"host", b"content-type", b"content-encoding", b"range", b"forwarded", *FORWARDED))


def classify_auth_response(response: Response) -> tuple[Outcome, float]:
    """What an authentication server's answer is to the core: a grant and a definite no are both served."""
    if 200 <= response.status < 300 or response.status in DEFINITE:
        return Outcome.OK, 0.0
    return Outcome.FULL if response.status == 429 else Outcome.ERROR, 0.0


@dataclass(slots=True)
class Granted:
    """The request may go on, with these identity headers."""

    status: int
    identity: Fields


class AuthService:
    """The authentication servers and the core before them."""

    def __init__(self, config: AuthConfig, gatekeeper: Gatekeeper, clock: Clock) -> None:
        self.config, self.gatekeeper, self.clock = config, gatekeeper, clock
        self.untrusted = frozenset(name.lower().encode() for name in config.identity)
        self.not_asked = self.untrusted | NOT_ASKED
        self.customer = config.customer.lower().encode()
        self.prefixes = [(prefix.encode(), number) for prefix, number in config.prefixes]

    def question(self, request: Request, forwarded: Fields) -> Request:
        """The question about a request. Only what its sender may say of itself comes along."""
        fields = [
            (b"Host", self.config.host.encode()),
            *forwarded,
            *forwarded_fields(request, self.not_asked),
        ]
        names = {name.lower(): value for name, value in fields}
        return Request(fields, names, True, method=b"GET", target=self.config.path.encode())

    def about(self, request: Request, client: bytes) -> Request:
        """The question about a request that came to this gatekeeper itself."""
        values = (request.method, b"http", request.headers.get(b"host", b""), request.target, client)
        return self.question(request, list(zip(FORWARDED, values, strict=True)))

    def class_of(self, uri: bytes) -> int | None:
        """The class with the longest prefix of the asked path."""
        return next((number for prefix, number in self.prefixes if uri.startswith(prefix)), None)

    def step(
        self,
        asked: Request,
        on_final: Callable[[Final[Any]], None],
        started: int,
        deadline: int | None = None,
    ) -> Submission | Answer:
        """The exchange that asks, within the class's time and, if given, until the deadline."""
        cls = self.class_of(asked.headers[b"x-forwarded-uri"])
        if cls is None:
            return 403, [TEXT], b"no class covers this path\n"
        # The last of a list is what the nearest proxy wrote; those before it anyone may have sent.
        name = asked.headers.get(self.customer, b"").rpartition(b",")[2].strip()
        digest = hashlib.blake2s(name, digest_size=4).digest()
        latest = started + self.config.settings.classes[cls].deadline_ns
        exchange: Exchange[Request, Response] = Exchange(
            asked,
            on_final,
            cls=cls,
            plan=self.config.plans.get(name.decode("latin-1"), self.config.default_plan),
            customer=int.from_bytes(digest, "little"),
            started=started,
            deadline=latest if deadline is None else min(latest, deadline),
            spread=self.config.settings.gateways,
        )
        return self.gatekeeper, exchange

    def verdict(self, final: Final[Response]) -> Granted | Answer:
        """What a final answer of the core means."""
        response = final.response
        if final.end is End.SERVED and response is not None:
            if 200 <= response.status < 300:
                named = [pair for pair in response.fields if pair[0].lower() in self.untrusted]
                return Granted(response.status, named)
            return response.status, definite_fields(response), response.body
        if final.end is End.TIMED_OUT or final.deadline_passed:
            return 504, [TEXT], b"out of time\n"
        if final.end is End.REFUSED:
            seconds = max(1, -(-final.wait_ns // SECOND))
            after = (b"Retry-After", b"%d" % seconds)
            return 429 if final.wait_ns > 0 else 503, [TEXT, after], b"refused: trying again is harmless\n"
        return 502, [TEXT], b"failed\n"


def definite_fields(response: Message) -> Fields:
    """The fields of a 401, 403 or redirect that go on: whom to tell, where to go, what to remember."""
    return forwarded_fields(response)


class ForwardAuth:
    """What all connections of this front share."""

    def __init__(self, service: AuthService) -> None:
        self.service = service

    def new_connection(self, listener: Listener) -> ForwardAuthConnection:
        """A new connection."""
        return ForwardAuthConnection(self.service, listener)


class ForwardAuthConnection(HttpConnection):
    """A connection of another proxy."""

    def __init__(self, service: AuthService, listener: Listener) -> None:
        super().__init__(listener, service.clock)
        self.service = service

    def handle_request(self, request: Request) -> Submission | Answer:
        if request.target in (b"/ready", b"/health"):
            return self.health(request)
        if request.method != b"GET":
            return 405, [(b"Allow", b"GET"), TEXT], b"not this method\n"
        missing = [name for name in NEEDED if not request.headers.get(name)]
        if missing:
            return 400, [TEXT], missing[0] + b": missing\n"
        forwarded = [(name, request.headers[name]) for name in FORWARDED if name in request.headers]
        return self.service.step(self.service.question(request, forwarded), self.on_final, request.arrived_at)

    def handle_final(self, final: Final[Any]) -> Submission | Answer:
        verdict = self.service.verdict(final)
        return (verdict.status, verdict.identity, b"") if isinstance(verdict, Granted) else verdict
