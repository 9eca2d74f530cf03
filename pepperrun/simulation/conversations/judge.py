"""The judge: sees what clients sent and got, and what reached workers. Nothing else."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from pepperrun.simulation.conversations.client import ClientConnection, Got, Sent
from pepperrun.simulation.conversations.scripts import KEYS, SMUGGLED
from pepperrun.simulation.conversations.worker import Seen

PROMISES = (408, 421, 429, 503)
OWN = (400, 401, 404, 413, 431, 501, 502, 504, *PROMISES)
PER_HOP = (b"connection", b"transfer-encoding", b"te", b"upgrade", b"keep-alive", b"expect")
OUR_FIELDS = (b"expect-worker", b"deadline-ms", b"attempt-id", b"host")
LOST_SLACK_S = 1.0
GONE_S = 0.5  # after its client has left nothing reaches a worker, nor is one still at work


@dataclass
class Record:
    """What was seen of a conversation. `allowed`: services that some configuration gave a route."""

    connections: list[ClientConnection]
    seen: list[Seen]
    allowed: dict[str, set[str]]
    drains: list[tuple[float, float]] = field(default_factory=list)  # when told, and the grace
    frozen: list[tuple[float, float]] = field(default_factory=list)  # from and to


class Judge:
    """Names the rules that a conversation broke."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.broken: list[str] = []
        self.sent = {one.asked.id: one for con in record.connections for one in con.sent}
        self.left_at = {
            one.asked.id: max(other.left_at for other in con.sent)
            for con in record.connections
            for one in con.sent
        }
        self.by_postmark = {one.postmark: one for one in record.seen if one.postmark}
        self.ran = Counter(one.id for one in record.seen if one.ran)

    def verdict(self) -> list[str]:
        """The broken rules, each with what shows it."""
        for seen in self.record.seen:
            self._worker(seen)
        for id, count in self.ran.items():
            if count > 1 and id in self.sent and not self.sent[id].asked.repeatable:
                self._breaks("TWICE", f"{id!r} ran {count} times")
        for connection in self.record.connections:
            self._connection(connection)
        return self.broken

    def _breaks(self, rule: str, text: str) -> None:
        self.broken.append(f"{rule}: {text}")

    # What reached workers.

    def _worker(self, seen: Seen) -> None:
        sent = self.sent.get(seen.id)
        if sent is None or SMUGGLED in seen.id:
            self._breaks("UNASKED", f"{seen.worker} got {seen.id!r}, which no client sent: {seen.head!r}")
            return
        asked = sent.asked
        if asked.malformed:
            self._breaks("UNASKED", f"{seen.id!r} can't be read, and reached {seen.worker}: {asked.head!r}")
        whole_body = seen.body == asked.body or not seen.ran
        if (seen.method, seen.target) != (asked.method, asked.target) or not whole_body:
            self._breaks("UNASKED", f"{seen.id!r} was changed: {seen.method!r} {seen.target!r}")
        if seen.ran and not sent.whole and not sent.gave_up:
            self._breaks("UNASKED", f"{seen.id!r} ran before it was sent whole")
        self._fields(seen, sent)
        if seen.ran and asked.repeatable and (left_at := self.left_at.get(seen.id)):
            self._gone(seen, left_at)
        if seen.ran and seen.service not in self.record.allowed.get(asked.route, set()):
            self._breaks("ROUTE", f"{seen.id!r} of {asked.route} ran at {seen.service}")

    def _fields(self, seen: Seen, sent: Sent) -> None:
        asked = sent.asked
        tenant = KEYS.get(asked.key or b"")
        keyed = asked.route != "open"
        expected = [tenant] if keyed and tenant is not None else []
        if seen.values(b"sender") != expected:
            self._breaks("UNASKED", f"{seen.id!r} has Sender {seen.values(b'sender')}, not {expected}")
        if keyed and tenant is None:
            self._breaks("ROUTE", f"{seen.id!r} has no key that is known")
        if any(key in seen.head for key in KEYS):
            self._breaks("UNASKED", f"{seen.id!r} shows a key to {seen.worker}: {seen.head!r}")
        for name in OUR_FIELDS:
            if len(seen.values(name)) != 1:
                self._breaks("UNASKED", f"{seen.id!r} has {len(seen.values(name))} of {name!r}")

    def _gone(self, seen: Seen, left_at: float) -> None:
        """Work that goes on without its client; what may not be repeated has to."""
        until = left_at + GONE_S
        if any(start <= until and left_at <= end for start, end in self.record.frozen):
            return
        if seen.at > until:
            self._breaks("GONE", f"{seen.id!r} reached {seen.worker} {seen.at - left_at:.3f} s after")
        elif not seen.over_at or seen.over_at > until:
            after = f"{seen.over_at - left_at:.3f} s" if seen.over_at else "to the end"
            self._breaks("GONE", f"{seen.worker} was at work on {seen.id!r} {after} after its client left")

    # What clients got.

    def _connection(self, connection: ClientConnection) -> None:
        answers, left = connection.answers()
        if left:
            self._breaks("MIXED", f"bytes that are no answer: {left[:80]!r}")
        finals = [one for one in answers if not one.interim]
        if len(answers) - len(finals) > sum(one.asked.expects_continue for one in connection.sent):
            self._breaks("MIXED", "an interim answer that nobody waits for")
        if len(finals) > len(connection.sent):
            self._breaks("MIXED", f"{len(finals)} answers to {len(connection.sent)} requests")
        for number, sent in enumerate(connection.sent):
            got = finals[number] if number < len(finals) else None
            if got is not None and got.status < 0:
                self._breaks("MIXED", f"{sent.asked.id!r}: bytes inside a body that form no chunk")
            elif got is not None and got.complete:
                self._answer(sent, got)
            elif got is not None:
                self._part(sent, got)
            if got is None or not got.complete:
                self._lost(connection, sent)

    def _answer(self, sent: Sent, got: Got) -> None:
        id, asked = sent.asked.id, sent.asked
        postmark = got.value(b"postmark")
        if got.status in PROMISES and not asked.repeatable and self.ran[id]:
            self._breaks("REFUSED", f"{id!r} got {got.status} and ran")
        if postmark is None:
            if 200 <= got.status < 300:
                self._breaks("MIXED", f"{id!r} got {got.status} without a Postmark")
            elif got.status not in OWN and not any(
                seen.id == id and seen.status == got.status for seen in self.record.seen
            ):
                self._breaks("MIXED", f"{id!r} got {got.status}, which is no answer of the gatekeeper's own")
            return
        meant = self.by_postmark.get(postmark)
        if meant is None or meant.id != id:
            self._breaks("MIXED", f"{id!r} got an answer of {meant.id if meant else postmark!r}")
        elif got.status != meant.status:
            self._breaks("MIXED", f"{id!r} got {got.status}, its worker gave {meant.status}")
        elif asked.method != b"HEAD" and got.body != meant.answer_body:
            self._breaks("MIXED", f"{id!r} got another body: {len(got.body)} of {len(meant.answer_body)}")
        elif 200 <= got.status < 300 and not meant.proper:
            self._breaks("MIXED", f"{id!r} got {got.status} of a spoilt answer")

    def _part(self, sent: Sent, got: Got) -> None:
        """An answer that ended early: so much of it must be the right one's."""
        postmark = got.value(b"postmark")
        if postmark is None or not got.body:
            return
        meant = self.by_postmark.get(postmark)
        if meant is None or meant.id != sent.asked.id or not meant.answer_body.startswith(got.body):
            self._breaks("MIXED", f"{sent.asked.id!r} got the beginning of another answer")

    def _lost(self, connection: ClientConnection, sent: Sent) -> None:
        """It reached a worker, which answered it as it should: its client must have a whole answer."""
        if sent.gave_up or any(one.gave_up for one in connection.sent) or not sent.whole:
            return
        tries = [one for one in self.record.seen if one.id == sent.asked.id]
        if not tries or not all(one.whole_at and one.proper for one in tries):
            return
        last = max(one.whole_at for one in tries)
        for told, grace in self.record.drains:
            if last > told + grace / 2:
                return
        if any(start <= last + LOST_SLACK_S and sent.at <= end for start, end in self.record.frozen):
            return
        if last <= sent.at + sent.asked.deadline_ms / 1000:
            self._breaks(
                "LOST", f"{sent.asked.id!r} was answered by its worker, and its client got no answer"
            )
