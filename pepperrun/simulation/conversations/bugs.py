"""Bugs that `--bug NAME` injects, to check that the judge finds them."""

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
    """Accepts any response for the pending request, whatever its Attempt-Id."""
    return [
        mock.patch.object(WorkerWire, "is_foreign", lambda *_: False),
        mock.patch.object(WorkerWire, "is_surplus", lambda *_: False),
    ]


def _reuse_after_surplus() -> Patches:
    """Reuses a connection with unread bytes behind a response; accepts a response without an Attempt-Id."""

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
    """Treats a connection lost before any response as one that never carried the request."""
    return [mock.patch.object(Connection, "_broken_outcome", lambda self: Outcome.CONNECT_FAILED)]


def _reject_after_run() -> Patches:
    """Rejects a request that may have run, with a status that says it did not run."""
    answer = Front.answer

    def reject(self: Front, exchange: Any, final: Any) -> Any:
        given = answer(self, exchange, final)
        return self.retry_later() if given[0] == 502 else given

    return [mock.patch.object(Front, "answer", reject)]


def _complete_truncated() -> Patches:
    """Ends a response that its worker truncated as if the response were complete."""
    return [mock.patch.object(BodyStream, "fail", lambda self: self.finish())]


def _pass_encoded() -> Patches:
    """Skips the checks whether a worker's response is content-encoded and whether its length is delimited."""
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
    """Reads the next request while a long response is being sent, and answers inside that response."""
    return [mock.patch.object(HttpConnection, "_has_pending_answer", _has_pending_request)]


def _trust_any_rejection() -> Patches:
    """Accepts a rejection without an Attempt-Id on a connection that has already carried responses."""

    def is_foreign(self: WorkerWire, attempt: Any, response: Any) -> bool:
        attempt_id = response.headers.get(b"attempt-id")
        if attempt_id is None:
            return not wire.is_rejected(response)
        return bool(attempt_id != attempt.exchange.request.headers[b"attempt-id"])

    return [mock.patch.object(WorkerWire, "is_foreign", is_foreign)]


def _retry_on_same_connection() -> Patches:
    """Retries a rejected request on the same connection.

    There a late duplicate of the first rejection is read as the response to the retry.
    """
    return [mock.patch.object(UpstreamClient, "_served_same_request", lambda *_: False)]


def _strip_all_named_fields() -> Patches:
    """Drops every field that `Connection` names, also the end-to-end fields that clients and workers need."""
    return [mock.patch.object(front, "END_TO_END", frozenset[bytes]())]


def _reject_timed_out() -> Patches:
    """Rejects a request at its deadline as not run, though a worker is running it."""
    answer = Front.answer

    def reject(self: Front, exchange: Any, final: Any) -> Any:
        return self.retry_later() if final.end is End.TIMED_OUT else answer(self, exchange, final)

    return [mock.patch.object(Front, "answer", reject)]


def _keep_abandoned_attempts() -> Patches:
    """Closes the request of a disconnected client without cancelling its attempts."""
    return [mock.patch.object(Gateway, "_cancel_abandoned", lambda *_: None)]


def _ignore_hangups() -> Patches:
    """Does not watch connections that are not being read for a disconnect."""
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
    """Injects the named bug for the duration of the context; "" injects none."""
    patches = BUGS[name]() if name else []
    for patch in patches:
        patch.start()
    try:
        yield
    finally:
        for patch in patches:
            patch.stop()
