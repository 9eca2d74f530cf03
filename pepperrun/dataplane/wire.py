"""What the gatekeeper says to workers, and how it judges what they answer."""

from __future__ import annotations

import re
from collections.abc import Callable

from pepperrun.core.interface import Outcome
from pepperrun.dataplane.gate import Gate
from pepperrun.dataplane.numbering import MS
from pepperrun.dataplane.routes import GateContext
from pepperrun.dataplane.workers import WorkerTable
from pepperrun.net.connection import Attempt, Connection, Wire, encode_request
from pepperrun.net.http1 import Response

SECOND = 1_000_000_000
STALL_S = 3.0  # an answer that has begun may stand still for so long
SILENT_NS = 4 * SECOND  # long against the work of any request
MOST_ANSWER = 1 << 40  # bytes: nothing bounds a worker's body
GONE_MS = 2000  # a machine that acknowledges nothing for so long has no power or is cut off
EARLY_NS = SECOND // 2  # before the backend closes an idle connection it takes no more requests
_TIMEOUT = re.compile(rb"(?:\A|[\s,;])timeout\s*=\s*\"?([0-9]{1,6})")


def is_rejected(response: Response) -> bool:
    """Does the worker say that it has not run the request, and will not?"""
    return response.status == 421 or b"not-run" in response.headers


def delimited(response: Response) -> bool:
    """Does the answer itself tell where it ends? One that lasts as long as its connection may be cut."""
    framed = response.length is not None or b"transfer-encoding" in response.headers
    return framed or response.status in (204, 304)


class WorkerWire(Wire):
    """The system's wire towards workers."""

    stall_timeout_s = STALL_S
    unresponsive_ns = SILENT_NS
    max_response_body = MOST_ANSWER
    user_timeout_ms = GONE_MS

    def __init__(
        self,
        workers: WorkerTable,
        gate: Gate,
        clock: Callable[[], int],
        on_misdirected: Callable[[int], None],
    ) -> None:
        super().__init__(lambda response: (Outcome.ERROR, 0.0))
        self.workers, self.gate, self.clock, self.on_misdirected = workers, gate, clock, on_misdirected

    def encode(self, attempt: Attempt, left_ns: int) -> bytes | None:
        """Return the request as the worker reads it; None where it may no longer go out."""
        exchange = attempt.exchange
        context: GateContext = exchange.gate_context
        if exchange.end is not None or not self.gate.may_write(context, attempt.backend, self.clock()):
            return None
        id = self.workers.id_by_number[attempt.backend].encode()
        more = b"Deadline-Ms: %d\r\nExpect-Worker: %b\r\n" % (max(1, left_ns // MS), id)
        if context.tenant is not None:
            more += b"Sender: %b\r\n" % context.tenant
        return encode_request(exchange.request, more)

    def is_idempotent(self, attempt: Attempt) -> bool:
        """Whether its route lets it run again."""
        return bool(attempt.exchange.gate_context.safe)

    def request_id(self, attempt: Attempt) -> object:
        """The client's `Attempt-Id`."""
        return attempt.exchange.request.headers[b"attempt-id"]

    def is_surplus(self, connection: Connection, response: Response) -> bool:
        """Whether it answers the request before, in the place of the next."""
        given = response.headers.get(b"attempt-id")
        return (
            given is not None and given == connection.previous_request_id and given != connection.request_id
        )

    def is_foreign(self, attempt: Attempt, response: Response) -> bool:
        """Whether it bears another id than the request, or none where one is needed."""
        given = response.headers.get(b"attempt-id")
        if given is None:
            # A refusal without an id, behind answers on the same connection, may be a surplus one.
            return not is_rejected(response) or attempt.connection is None or attempt.connection.responses > 0
        return given != attempt.exchange.request.headers[b"attempt-id"]

    def classify(self, attempt: Attempt, response: Response) -> tuple[Outcome, float]:
        """Return the outcome, by status and by what the worker says of having run; units are not told."""
        status = response.status
        if status == 421:
            self.on_misdirected(attempt.backend)
        if is_rejected(response):
            return Outcome.FULL, 0.0
        if b"content-encoding" in response.headers or not delimited(response):
            return Outcome.ERROR, 0.0
        if 200 <= status < 300:
            return (Outcome.OK if b"postmark" in response.headers else Outcome.ERROR), 0.0
        if status in (408, 429, 503):  # nothing says that it has not run, and passed on it would be a promise
            return Outcome.ERROR, 0.0
        if status >= 500:
            attempt.exchange.error_response = response if response.complete else None
            return Outcome.ERROR, 0.0
        return Outcome.OK, 0.0

    def keep_alive_ns(self, response: Response) -> int:
        """How long the worker keeps the connection, by its `Keep-Alive`, less a margin."""
        told = _TIMEOUT.search(response.headers.get(b"keep-alive", b"").lower())
        if told is None:
            return 0
        whole = int(told[1]) * SECOND
        return max(1, whole // 2, whole - EARLY_NS)
