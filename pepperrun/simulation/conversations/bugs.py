"""Bugs that are put in by a switch, to see that the judge finds them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from pepperrun.core.gateway import Gateway
from pepperrun.core.interface import Outcome
from pepperrun.dataplane import front, wire
from pepperrun.dataplane.front import Front
from pepperrun.dataplane.wire import WorkerWire
from pepperrun.exchange import End
from pepperrun.fronts.http_connection import HttpConnection
from pepperrun.net import connection, upstream
from pepperrun.net.connection import Connection
from pepperrun.net.hangup import HangupWatch
from pepperrun.net.stream import BodyStream
from pepperrun.net.upstream import UpstreamClient

Patches = list[Any]


def _ignore_attempt_ids() -> Patches:
    """An answer is taken for that of the request that waits, whatever its Attempt-Id."""
    return [
        mock.patch.object(WorkerWire, "is_foreign", lambda *_: False),
        mock.patch.object(WorkerWire, "is_surplus", lambda *_: False),
    ]


def _reuse_after_surplus() -> Patches:
    """What came behind an answer stays for the next, and an answer without an id is taken for it."""

    def release(self: Connection, response: Any) -> None:
        self.responses, self.response_started_at = self.responses + 1, 0
        if response.closes_connection() or self.request_unsent:
            self.close()
        elif self.transport is not None and not self.transport.is_closing():
            self.owner.on_connection_free(self)

    def is_foreign(self: WorkerWire, attempt: Any, response: Any) -> bool:
        attempt_id = response.headers.get(b"attempt-id")
        return attempt_id is not None and bool(attempt_id != attempt.exchange.request.headers[b"attempt-id"])

    return [
        mock.patch.object(Connection, "_release", release),
        mock.patch.object(WorkerWire, "is_foreign", is_foreign),
        mock.patch.object(connection, "has_unread_input", lambda _: False),
        mock.patch.object(upstream, "has_unread_input", lambda _: False),
    ]


def _retry_after_reset() -> Patches:
    """A connection that broke before any answer is taken for one on which nothing was asked."""
    return [mock.patch.object(Connection, "_broken_outcome", lambda self: Outcome.CONNECT_FAILED)]


def _reject_after_run() -> Patches:
    """What may have run is refused."""
    answer = Front.answer

    def reject(self: Front, exchange: Any, final: Any) -> Any:
        given = answer(self, exchange, final)
        return self.retry_later() if given[0] == 502 else given

    return [mock.patch.object(Front, "answer", reject)]


def _complete_truncated() -> Patches:
    """An answer whose worker broke off is ended as if it were whole."""
    return [mock.patch.object(BodyStream, "fail", lambda self: self.finish())]


def _pass_encoded() -> Patches:
    """No look at whether a worker's answer is encoded or tells its length."""
    classify = WorkerWire.classify

    def lenient(self: WorkerWire, attempt: Any, response: Any) -> Any:
        response.headers.pop(b"content-encoding", None)
        return classify(self, attempt, response)

    return [
        mock.patch.object(WorkerWire, "classify", lenient),
        mock.patch.object(wire, "delimited", lambda _: True),
    ]


def _has_pending_request(client: HttpConnection) -> bool:
    return client.pending is not None


def _read_during_response() -> Patches:
    """The next request is read while a long answer is on its way, and answered in the middle of it."""
    return [mock.patch.object(HttpConnection, "_has_pending_answer", _has_pending_request)]


def _trust_any_rejection() -> Patches:
    """A refusal without an id is believed on a connection that has brought answers before."""

    def is_foreign(self: WorkerWire, attempt: Any, response: Any) -> bool:
        attempt_id = response.headers.get(b"attempt-id")
        if attempt_id is None:
            return not wire.is_rejected(response)
        return bool(attempt_id != attempt.exchange.request.headers[b"attempt-id"])

    return [mock.patch.object(WorkerWire, "is_foreign", is_foreign)]


def _retry_on_same_connection() -> Patches:
    """What a worker refused may go to it again on the same connection, where a late second no is its own."""
    return [mock.patch.object(UpstreamClient, "_served_same_request", lambda *_: False)]


def _strip_all_named_fields() -> Patches:
    """What `Connection` names is dropped, also where a client or worker can't do without it."""
    return [mock.patch.object(front, "END_TO_END", frozenset[bytes]())]


def _reject_timed_out() -> Patches:
    """A request whose time is up is refused, though a worker is at work on it."""
    answer = Front.answer

    def reject(self: Front, exchange: Any, final: Any) -> Any:
        return self.retry_later() if final.end is End.TIMED_OUT else answer(self, exchange, final)

    return [mock.patch.object(Front, "answer", reject)]


def _keep_abandoned_attempts() -> Patches:
    """The decisions close the request of a client who has left, and leave its attempts out."""
    return [mock.patch.object(Gateway, "_cancel_abandoned", lambda *_: None)]


def _ignore_hangups() -> Patches:
    """Nobody watches a connection that is not read."""
    return [mock.patch.object(HangupWatch, "watch", lambda *_: None)]


BUGS: dict[str, Callable[[], Patches]] = {
    "ids-not-compared": _ignore_attempt_ids,
    "reused-after-surplus": _reuse_after_surplus,
    "sent-again-after-reset": _retry_after_reset,
    "promise-after-run": _reject_after_run,
    "short-looks-whole": _complete_truncated,
    "encoded-passes": _pass_encoded,
    "next-inside-answer": _read_during_response,
    "any-no-is-believed": _trust_any_rejection,
    "same-connection-again": _retry_on_same_connection,
    "per-hop-takes-all": _strip_all_named_fields,
    "late-counts-as-refused": _reject_timed_out,
    "runs-outlive-clients": _keep_abandoned_attempts,
    "closes-unheard": _ignore_hangups,
}


@contextmanager
def injected_bug(name: str) -> Iterator[None]:
    """This bug is there for as long as the context lasts; "" for none."""
    patches = BUGS[name]() if name else []
    for patch in patches:
        patch.start()
    try:
        yield
    finally:
        for patch in patches:
            patch.stop()
