"""Checks a conversation against the rules, from what clients sent and received and workers received only.

- TWICE: a request that is not idempotent ran more than once.
- UNASKED: a worker got a request that no client sent, that is malformed or was changed, one that ran before
  it was sent completely, one with a wrong Sender or a tenant's key, or one that has one of `GATEWAY_FIELDS`
  not exactly once.
- ROUTE: a request ran at a service that its route did not allow, or was forwarded without a known key.
- GONE: an idempotent request reached a worker, or was still in work, more than `ABANDON_LIMIT_S` after its
  client disconnected; the time around a freeze is exempt.
- MIXED: a client got bytes, a response or a body that do not belong to its request.
- REFUSED: a request that is not idempotent ran, but its client got a status that promises it never runs.
- LOST: workers answered a request validly before its deadline, but its client got no complete response.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from pepperrun.simulation.conversations.client import ClientConnection, ClientResponse, SentRequest
from pepperrun.simulation.conversations.scripts import KEYS, SMUGGLED
from pepperrun.simulation.conversations.worker import ReceivedRequest

NOT_RUN_STATUSES = (408, 421, 429, 503)  # promise that the request has not run and never will
GATEWAY_STATUSES = (400, 401, 404, 413, 431, 501, 502, 504, *NOT_RUN_STATUSES)  # sent by the gateway itself
PER_HOP = (b"connection", b"transfer-encoding", b"te", b"upgrade", b"keep-alive", b"expect")
GATEWAY_FIELDS = (b"expect-worker", b"deadline-ms", b"attempt-id", b"host")
LOST_SLACK_S = 1.0
ABANDON_LIMIT_S = 0.5  # after the disconnect no worker may receive the request or still run it


@dataclass
class Record:
    """What was observed of a conversation.

    `allowed_services`: the services of each route in any configuration that was in force.
    """

    connections: list[ClientConnection]
    received: list[ReceivedRequest]
    allowed_services: dict[str, set[str]]
    drains: list[tuple[float, float]] = field(default_factory=list)  # start and grace period
    frozen: list[tuple[float, float]] = field(default_factory=list)  # start and end


class Judge:
    """Finds the rules that a conversation violated."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.violations: list[str] = []
        self.sent_by_id = {
            one.spec.id: one for connection in record.connections for one in connection.sent_requests
        }
        self.disconnected_at = {
            one.spec.id: max(other.disconnected_at for other in connection.sent_requests)
            for connection in record.connections
            for one in connection.sent_requests
        }
        self.by_postmark = {one.postmark: one for one in record.received if one.postmark}
        self.run_counts = Counter(one.id for one in record.received if one.ran)

    def check(self) -> list[str]:
        """Returns the violated rules, each with its evidence."""
        for received in self.record.received:
            self._check_received(received)
        for id, count in self.run_counts.items():
            if count > 1 and id in self.sent_by_id and not self.sent_by_id[id].spec.idempotent:
                self._report("TWICE", f"{id!r} ran {count} times")
        for connection in self.record.connections:
            self._check_connection(connection)
        return self.violations

    def _report(self, rule: str, text: str) -> None:
        self.violations.append(f"{rule}: {text}")

    # What workers received.

    def _check_received(self, received: ReceivedRequest) -> None:
        sent = self.sent_by_id.get(received.id)
        if sent is None or SMUGGLED in received.id:
            self._report(
                "UNASKED", f"{received.worker} got {received.id!r}, which no client sent: {received.head!r}"
            )
            return
        spec = sent.spec
        if spec.malformed:
            self._report(
                "UNASKED", f"{received.id!r} is malformed and reached {received.worker}: {spec.head!r}"
            )
        body_matches = received.body == spec.body or not received.ran
        if (received.method, received.target) != (spec.method, spec.target) or not body_matches:
            self._report("UNASKED", f"{received.id!r} was changed: {received.method!r} {received.target!r}")
        if received.ran and not sent.complete and not sent.abandoned:
            self._report("UNASKED", f"{received.id!r} ran before it was sent completely")
        self._check_fields(received, sent)
        if received.ran and spec.idempotent and (disconnected_at := self.disconnected_at.get(received.id)):
            self._check_abandoned(received, disconnected_at)
        if received.ran and received.service not in self.record.allowed_services.get(spec.route, set()):
            self._report("ROUTE", f"{received.id!r} of {spec.route} ran at {received.service}")

    def _check_fields(self, received: ReceivedRequest, sent: SentRequest) -> None:
        spec = sent.spec
        tenant = KEYS.get(spec.key or b"")
        keyed = spec.route != "open"
        expected = [tenant] if keyed and tenant is not None else []
        if received.values(b"sender") != expected:
            self._report(
                "UNASKED", f"{received.id!r} has Sender {received.values(b'sender')}, not {expected}"
            )
        if keyed and tenant is None:
            self._report("ROUTE", f"{received.id!r} has no key that is known")
        if any(key in received.head for key in KEYS):
            self._report("UNASKED", f"{received.id!r} shows a key to {received.worker}: {received.head!r}")
        for name in GATEWAY_FIELDS:
            if len(received.values(name)) != 1:
                self._report("UNASKED", f"{received.id!r} has {len(received.values(name))} of {name!r}")

    def _check_abandoned(self, received: ReceivedRequest, disconnected_at: float) -> None:
        """Reports work on an idempotent request after its client disconnected.

        Other requests must run to the end.
        """
        until = disconnected_at + ABANDON_LIMIT_S
        if any(start <= until and disconnected_at <= end for start, end in self.record.frozen):
            return
        if received.received_at > until:
            self._report(
                "GONE",
                f"{received.id!r} reached {received.worker} {received.received_at - disconnected_at:.3f} s "
                "after its client disconnected",
            )
        elif not received.ended_at or received.ended_at > until:
            after = f"{received.ended_at - disconnected_at:.3f} s" if received.ended_at else "to the end"
            self._report(
                "GONE",
                f"{received.worker} was at work on {received.id!r} {after} after its client disconnected",
            )

    # What clients received.

    def _check_connection(self, connection: ClientConnection) -> None:
        responses, leftover = connection.responses()
        if leftover:
            self._report("MIXED", f"bytes that form no response: {leftover[:80]!r}")
        finals = [one for one in responses if not one.interim]
        if len(responses) - len(finals) > sum(one.spec.expects_continue for one in connection.sent_requests):
            self._report("MIXED", "an interim response that no client expects")
        if len(finals) > len(connection.sent_requests):
            self._report("MIXED", f"{len(finals)} responses to {len(connection.sent_requests)} requests")
        for number, sent in enumerate(connection.sent_requests):
            response = finals[number] if number < len(finals) else None
            if response is not None and response.status < 0:
                self._report("MIXED", f"{sent.spec.id!r}: bytes inside a body that form no chunk")
            elif response is not None and response.complete:
                self._check_complete(sent, response)
            elif response is not None:
                self._check_truncated(sent, response)
            if response is None or not response.complete:
                self._check_lost(connection, sent)

    def _check_complete(self, sent: SentRequest, response: ClientResponse) -> None:
        id, spec = sent.spec.id, sent.spec
        postmark = response.value(b"postmark")
        if response.status in NOT_RUN_STATUSES and not spec.idempotent and self.run_counts[id]:
            self._report("REFUSED", f"{id!r} got {response.status} and ran")
        if postmark is None:
            if 200 <= response.status < 300:
                self._report("MIXED", f"{id!r} got {response.status} without a Postmark")
            elif response.status not in GATEWAY_STATUSES and not any(
                received.id == id and received.status == response.status for received in self.record.received
            ):
                self._report(
                    "MIXED",
                    f"{id!r} got {response.status}, which neither a worker sent nor the gateway sends",
                )
            return
        expected_reply = self.by_postmark.get(postmark)
        if expected_reply is None or expected_reply.id != id:
            self._report(
                "MIXED", f"{id!r} got the response to {expected_reply.id if expected_reply else postmark!r}"
            )
        elif response.status != expected_reply.status:
            self._report("MIXED", f"{id!r} got {response.status}, its worker gave {expected_reply.status}")
        elif spec.method != b"HEAD" and response.body != expected_reply.response_body:
            self._report(
                "MIXED",
                f"{id!r} got a different body: {len(response.body)} of {len(expected_reply.response_body)}",
            )
        elif 200 <= response.status < 300 and not expected_reply.valid:
            self._report("MIXED", f"{id!r} got {response.status} of an invalid response")

    def _check_truncated(self, sent: SentRequest, response: ClientResponse) -> None:
        """Checks that a truncated response is a prefix of the right one."""
        postmark = response.value(b"postmark")
        if postmark is None or not response.body:
            return
        expected_reply = self.by_postmark.get(postmark)
        if (
            expected_reply is None
            or expected_reply.id != sent.spec.id
            or not expected_reply.response_body.startswith(response.body)
        ):
            self._report("MIXED", f"{sent.spec.id!r} got the beginning of another response")

    def _check_lost(self, connection: ClientConnection, sent: SentRequest) -> None:
        """Reports a request that workers answered validly, but whose client got no complete response.

        Exempt are responses in the second half of a drain's grace, near a freeze or after the deadline.
        """
        if sent.abandoned or any(one.abandoned for one in connection.sent_requests) or not sent.complete:
            return
        attempts = [one for one in self.record.received if one.id == sent.spec.id]
        if not attempts or not all(one.completed_at and one.valid for one in attempts):
            return
        last = max(one.completed_at for one in attempts)
        for notified_at, grace in self.record.drains:
            if last > notified_at + grace / 2:
                return
        if any(start <= last + LOST_SLACK_S and sent.sent_at <= end for start, end in self.record.frozen):
            return
        if last <= sent.sent_at + sent.spec.deadline_ms / 1000:
            self._report(
                "LOST",
                f"{sent.spec.id!r} was answered by its worker, but its client got no complete response",
            )
