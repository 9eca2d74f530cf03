"""Forward authentication over HTTP, for other proxies and for this gatekeeper's own requests.

An authentication request goes to an authentication server as a GET with `X-Forwarded-Method`, `-Proto`,
`-Host`, `-Uri` and `-For`. It is an exchange of a safe class on the same core as any other. Only a clear
grant counts as a grant: this front fails closed.
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
REQUIRED = FORWARDED[0], FORWARDED[2], FORWARDED[3]
DENIALS = frozenset((301, 302, 303, 307, 308, 401, 403))
# Fields of the request in question that are not copied to the authentication request.
NOT_COPIED = frozenset((b"host", b"content-type", b"content-encoding", b"range", b"forwarded", *FORWARDED))


def classify_auth_response(response: Response) -> tuple[Outcome, float]:
    """Classifies an authentication server's response for the core: grants and clear denials are successes."""
    if 200 <= response.status < 300 or response.status in DENIALS:
        return Outcome.OK, 0.0
    return Outcome.FULL if response.status == 429 else Outcome.ERROR, 0.0


@dataclass(slots=True)
class Granted:
    """A grant: the request may be forwarded with these identity headers."""

    status: int
    identity: Fields


class AuthService:
    """Builds authentication requests and interprets the final answers to them."""

    def __init__(self, config: AuthConfig, gatekeeper: Gatekeeper, clock: Clock) -> None:
        self.config, self.gatekeeper, self.clock = config, gatekeeper, clock
        self.identity_headers = frozenset(name.lower().encode() for name in config.identity)
        self.not_copied = self.identity_headers | NOT_COPIED
        self.customer = config.customer.lower().encode()
        self.prefixes = [(prefix.encode(), number) for prefix, number in config.prefixes]

    def auth_request(self, request: Request, forwarded: Fields) -> Request:
        """Returns the authentication request, without fields that a client may not claim for itself."""
        fields = [
            (b"Host", self.config.host.encode()),
            *forwarded,
            *forwarded_fields(request, self.not_copied),
        ]
        names = {name.lower(): value for name, value in fields}
        return Request(fields, names, True, method=b"GET", target=self.config.path.encode())

    def request_about(self, request: Request, client: bytes) -> Request:
        """Returns the authentication request for a request that this gatekeeper received itself."""
        values = (request.method, b"http", request.headers.get(b"host", b""), request.target, client)
        return self.auth_request(request, list(zip(FORWARDED, values, strict=True)))

    def class_of(self, uri: bytes) -> int | None:
        """Returns the class with the longest prefix of the path, None if no class covers it."""
        return next((number for prefix, number in self.prefixes if uri.startswith(prefix)), None)

    def submission(
        self,
        auth_request: Request,
        on_final: Callable[[Final[Any]], None],
        started: int,
        deadline: int | None = None,
    ) -> Submission | Answer:
        """Returns the exchange of an authentication request.

        Its deadline is that of its class, or `deadline` if that is earlier. Status 403 if no class covers the
        path.
        """
        cls = self.class_of(auth_request.headers[b"x-forwarded-uri"])
        if cls is None:
            return 403, [TEXT], b"no class covers this path\n"
        # The last item is from the nearest proxy; anyone may have sent the items before.
        name = auth_request.headers.get(self.customer, b"").rpartition(b",")[2].strip()
        digest = hashlib.blake2s(name, digest_size=4).digest()
        latest = started + self.config.settings.classes[cls].deadline_ns
        exchange: Exchange[Request, Response] = Exchange(
            auth_request,
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
        """Returns the grant or the response for a final answer of the core."""
        response = final.response
        if final.end is End.SERVED and response is not None:
            if 200 <= response.status < 300:
                identity = [pair for pair in response.fields if pair[0].lower() in self.identity_headers]
                return Granted(response.status, identity)
            return response.status, denial_fields(response), response.body
        if final.end is End.TIMED_OUT or final.deadline_passed:
            return 504, [TEXT], b"out of time\n"
        if final.end is End.REFUSED:
            seconds = max(1, -(-final.wait_ns // SECOND))
            after = (b"Retry-After", b"%d" % seconds)
            return 429 if final.wait_ns > 0 else 503, [TEXT, after], b"refused: trying again is harmless\n"
        return 502, [TEXT], b"failed\n"


def denial_fields(response: Message) -> Fields:
    """Returns the fields of a 401, 403 or redirect to forward: challenge, location, cookies and so on."""
    return forwarded_fields(response)


class ForwardAuth:
    """The state that all connections of this front share."""

    def __init__(self, service: AuthService) -> None:
        self.service = service

    def new_connection(self, listener: Listener) -> ForwardAuthConnection:
        """Returns the protocol object of a new connection."""
        return ForwardAuthConnection(self.service, listener)


class ForwardAuthConnection(HttpConnection):
    """A connection of another proxy, which sends authentication requests."""

    def __init__(self, service: AuthService, listener: Listener) -> None:
        super().__init__(listener, service.clock)
        self.service = service

    def handle_request(self, request: Request) -> Submission | Answer:
        if request.target in (b"/ready", b"/health"):
            return self.health(request)
        if request.method != b"GET":
            return 405, [(b"Allow", b"GET"), TEXT], b"not this method\n"
        missing = [name for name in REQUIRED if not request.headers.get(name)]
        if missing:
            return 400, [TEXT], missing[0] + b": missing\n"
        forwarded = [(name, request.headers[name]) for name in FORWARDED if name in request.headers]
        return self.service.submission(
            self.service.auth_request(request, forwarded), self.on_final, request.arrived_at
        )

    def handle_final(self, final: Final[Any]) -> Submission | Answer:
        verdict = self.service.verdict(final)
        return (verdict.status, verdict.identity, b"") if isinstance(verdict, Granted) else verdict
