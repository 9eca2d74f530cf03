"""Admission gateway: decides which requests are sent, where, when, and how often.

A request is checked against its customer's quota (`quotas`). It is sent while the concurrency limit
(`concurrency_limiter`) has capacity; otherwise it waits for the fair scheduler (`fair_scheduler`). The
backend is chosen last (`fleet`). `Gateway` connects these parts and holds the rules for retries and answers.
"""

from __future__ import annotations

import random

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND, Bucket, Throttle
from pepperrun.core.concurrency_limiter import LATENCY_GOAL
from pepperrun.core.fair_scheduler import PendingRequest
from pepperrun.core.fleet import REPORT_TTL_NS
from pepperrun.core.interface import (
    AttemptEnded,
    AttemptSuspected,
    BackendList,
    BackendState,
    Cancel,
    ClientLeft,
    Fail,
    Gate,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    Refuse,
    Repeat,
    Request,
    RequestExpired,
    Send,
    SendPeerMessage,
    Settings,
    StreamStarted,
    Watch,
)
from pepperrun.core.quotas import REPORT_INTERVAL_NS, Quotas
from pepperrun.core.services import ServiceState
from pepperrun.core.state import Attempt, Server
from pepperrun.core.unit_requester import UnitRequester
from pepperrun.core.unit_transfers import is_starved, refill_wait_s, spend_units

HEDGE_AT = 0.4  # of the latency target: a hedged request can then still be answered in time
UNLOADED_RETRY_COST = 0.3  # budget units of a retry while the fleet is not overloaded: its load is negligible
LATE_RETRY_RESERVE = 0.5  # of the retry budget's depth, kept for requests within their latency target
# While requests wait, dispatch is repeated at this interval, with one timer at a time. Buckets refill and
# failure scores decay with time alone, so a waiting request can become admissible without any event.
DISPATCH_INTERVAL_NS = SECOND // 50
# With `adaptive_latency_goal`, a request waits at least its latency target divided by this before it is shed.
# That is much longer than a local bucket takes to fill, and much shorter than a client waits before a retry.
MIN_WAIT_DIVISOR = 5
ABANDONED_GRACE_NS = 150 * SECOND // 1000  # for an attempt to end by itself after its client disconnected
LOG_INTERVAL_NS = 5 * SECOND  # at most one line of each kind per interval


class Gateway(UnitRequester):
    """An admission gateway. Pass events to `handle` and carry out the actions that it returns, in order."""

    def __init__(self, settings: Settings, seed: int, gate: Gate | None = None) -> None:
        super().__init__()
        self.settings, self.rng, self.gate = settings, random.Random(seed), gate
        self.quotas = Quotas(settings)
        self.services = [ServiceState(settings, self.rng, self._log, gate) for _ in range(settings.services)]
        self.scheduler, self.limiter, self.fleet = (
            self.services[0].scheduler,
            self.services[0].limiter,
            self.services[0].fleet,
        )
        self.pending: dict[int, PendingRequest] = {}
        self.retry_budget = Bucket(0.0, settings.retry_budget_burst, settings.retry_budget_burst, 0)
        self.next_dispatch_at, self.max_remaining_ns, self.malformed_count = 0, [0] * len(settings.classes), 0
        self.log_throttle, self.report_scheduled = Throttle(LOG_INTERVAL_NS), True
        self.handlers = {Request: self._arrived, AttemptEnded: self._ended, BackendList: self._backend_list}
        self.handlers |= {AttemptSuspected: self._suspected, RequestExpired: self._expired}
        self.handlers |= {
            ClientLeft: self._client_left,
            StreamStarted: self._client_left,
            PeerMessage: self._peer_message,
        }

    def update_settings(self, settings: Settings) -> None:
        """Apply settings with additional classes, plans or services, or another number of gateways."""
        self.settings = settings
        self.quotas.update_settings(settings, self.now)
        self.retry_budget.depth = settings.retry_budget_burst
        self.retry_budget.level = min(self.retry_budget.level, self.retry_budget.depth)
        self.max_remaining_ns += [0] * (len(settings.classes) - len(self.max_remaining_ns))
        for _ in range(settings.services - len(self.services)):
            self.services.append(ServiceState(settings, self.rng, self._log, self.gate))
        for service in self.services:
            service.fleet.update_settings(settings)

    def start(self) -> None:
        """Start the periodic work and, if configured, request the backend list."""
        self.quotas.started_at = self.now
        # Grows with each start and is never 0.
        self.quotas.outbox.incarnation = self.now // gossip.INCARNATION_TICK_NS % (2**32 - 1) + 1
        if self.settings.must_ask_for_list:
            self.actions.append(Watch())
        if self.quotas.reports_directly and self.settings.peer_messages and self.settings.gateways > 1:
            self.every(REPORT_INTERVAL_NS, lambda: self.quotas.send_reports(self.now))
            self.report_scheduled = False
        self.every(SECOND, lambda: self.quotas.refresh(self.now))

    def finish(self) -> None:
        """Send the waiting requests that fit, and the messages to peers."""
        self._dispatch()
        if self.quotas.dirty and not self.report_scheduled:  # one message per period
            self.report_scheduled = True
            self.timers.add(self.now + self.quotas.message_interval_ns, self._send_reports)
        for peer, message in self.quotas.outbox.drain():
            message.receiver_incarnation = self.quotas.inbox.incarnation_of(peer)
            message.latency = self.limiter.latency
            message.backend_reports = (
                self.fleet.backend_reports.sample(self.rng, self.now)
                if self.settings.share_backend_reports
                else []
            )
            self.actions.append(SendPeerMessage(peer, gossip.pack(message)))

    def _send_reports(self) -> None:
        self.report_scheduled = False
        self.quotas.send_reports(self.now)

    def _client_left(self, event: ClientLeft | StreamStarted) -> None:
        """Handle that a client has disconnected, or that a streamed answer has begun."""
        if (request := self.pending.get(event.request)) is not None:
            request.stream = isinstance(event, StreamStarted)
            if not request.stream:
                self._cancel_abandoned(request)
                self._close(request)

    def _expired(self, event: RequestExpired) -> None:
        if (request := self.pending.get(event.request)) is not None:
            self._close(request)

    def _cancel_abandoned(self, request: PendingRequest) -> None:
        """Cancel a request's attempts after a grace period, as closing the request would not end their work.

        Attempts that are not safe to repeat go on: a cancelled one would not show whether it ran. Each cancel
        costs a connection, so an attempt that is about to be answered gets the grace period, as many clients
        may disconnect at once.
        """
        if not self.settings.cancel_when_client_left or request.request_class.repeat is not Repeat.SAFE:
            return
        for attempt in request.attempts:
            attempt.abandoned = attempt.in_flight

        def cancel() -> None:
            self.actions += [
                Cancel(request.id, at) for at, attempt in enumerate(request.attempts) if attempt.in_flight
            ]

        self.timers.add(self.now + ABANDONED_GRACE_NS, cancel, lambda: not request.in_flight())

    def ejected(self) -> set[int]:
        """Return the backends of all services that are ejected for at least one class."""
        return {id for service in self.services for id in service.fleet.ejected(self.now)}

    def _peer_message(self, event: PeerMessage) -> None:
        if (message := self.quotas.receive(event.peer, event.data, self.now)) is None:
            if (count := self.quotas.inbox.malformed) > self.malformed_count:
                self.malformed_count, details = (
                    count,
                    f"{count} so far, the last from gatekeeper {event.peer}",
                )
                self._log("garbled", f"dropped malformed peer messages: {details}")
            return
        if len(self.services) == 1:
            self.limiter.add_latency(message.latency)
        for report in message.backend_reports:
            if report.backend in self.fleet.servers and report.cls < len(self.settings.classes):
                fresh = report.age_ns < REPORT_TTL_NS
                self.fleet.backend_reports.record(
                    report.backend, report.cls, report.failure_score, self.now - report.age_ns, fresh
                )
        for answer in message.unit_responses:
            account = self.quotas.accounts.get(answer.customer)
            # Only an owner of the quota may grant units.
            if account is not None and event.peer in account.owners:
                self._on_unit_response(answer, event.peer)

    def _log(self, kind: str, text: str) -> None:
        if self.log_throttle.allows(kind, self.now):
            self.actions.append(Log(text))

    def _backend_list(self, event: BackendList) -> None:
        if event.kind is ListKind.FAILED:
            self.timers.add(self.now + SECOND, lambda: self.actions.append(Watch()))
            self._log("list", "the backend list could not be fetched; using the last one")
            return
        for number, service in enumerate(self.services):
            of_service = tuple(backend for backend in event.backends if backend.service == number)
            service.fleet.apply_list(BackendList(event.kind, of_service), self.now)
            if all(server.state is not BackendState.READY for server in service.fleet.servers.values()):
                self._log("empty", "no backend is ready")

    def _arrived(self, event: Request) -> None:
        if event.id in self.pending:
            return
        plan, request_class = self.settings.plans[event.plan], self.settings.classes[event.cls]
        account = self.quotas.accounts.get(event.customer) or self.quotas.create_account(event, self.now)
        self.quotas.accounts[event.customer], account.last_seen_at = account, self.now
        if self.quotas.reports_directly:
            self.quotas.dirty[event.customer] = None
        service = self.services[event.service]
        request = PendingRequest(event, account, request_class, service, self.now)
        self.pending[event.id] = request
        # The time of a request whose body is still arriving has not begun.
        request.target_at -= (waited_ns := 0 if request.unbuffered else self._waited_ns(event))
        overloaded = service.limiter.latency > service.limiter.goal / 2
        if self.settings.adaptive_latency_goal:  # the work alone may take that long: others must wait too
            overloaded = service.limiter.latency > service.limiter.goal and bool(service.scheduler.waiting)
        # Answers one or two ticks before the client gives up, so that the answer arrives in time.
        answer_by = max(self.now, request.deadline - 2 * self.settings.tick_ns)

        def is_finished() -> bool:
            return request.done or request.stream

        self.timers.add(
            answer_by, lambda: None if is_finished() else self._fail_or_refuse(request), is_finished
        )
        if (
            waited_ns > self.settings.tick_ns
            and self.now + request.service.fleet.expected_ns(request) > request.target_at
            and overloaded
        ):
            self._fail_or_refuse(request)
        elif account.owners and self.now < account.rejected_until:
            self._refuse(request, (account.rejected_until - self.now) / SECOND, True)
        elif not account.owners and not account.within_quota(event.units, self.now):
            self._refuse(
                request, (event.units - account.available_units(self.now)) / max(plan.rate, 1e-9), True
            )
        elif account.owners:
            self._request_units(request)
        elif self.quotas.members is not None and is_starved(account, self.now):
            self._refuse(request, refill_wait_s(account, event.units, self.now), True)
        else:
            self._admit(request)

    def _waited_ns(self, event: Request) -> int:
        """Return how long the request has waited at its client, or here while this process was not running.

        The wait is the difference to the largest remaining time of its route or class.
        """
        if event.limits is not None:
            return max(0, event.limits.initial_ns - event.left_ns)
        longest = self.max_remaining_ns[event.cls] = max(self.max_remaining_ns[event.cls], event.left_ns)
        return longest - event.left_ns

    def _admit(self, request: PendingRequest) -> None:
        request.asking = False
        fleet = request.service.fleet
        request.service.scheduler.add(request.account.customer, request)
        # A request that can be sent at once is never shed, or a period of high latency would exclude large
        # requests for good. If the work takes most of the latency target, the shed time would be now, so
        # the request may wait for a minimum part of the target.
        min_wait = request.target_ns // MIN_WAIT_DIVISOR if self.settings.adaptive_latency_goal else 1
        shed_at = max(
            self.now + min_wait, int(request.target_at - fleet.tail_ratio * fleet.expected_ns(request))
        )

        def left_queue() -> bool:
            return not request.waiting

        self.timers.add(shed_at, lambda: None if left_queue() else self._shed(request), left_queue)

    def _shed(self, request: PendingRequest) -> None:
        wait = (
            refill_wait_s(request.account, request.units, self.now)
            if self.quotas.members is not None
            else 0.0
        )
        self._refuse(request, wait, wait > 0)

    def _dispatch(self) -> None:
        """Send waiting requests while the concurrency limits have capacity."""
        for service in self.services:
            self._dispatch_service(service)
        if any(service.scheduler.waiting for service in self.services) and self.next_dispatch_at <= self.now:
            self.next_dispatch_at = self.now + DISPATCH_INTERVAL_NS
            self.timers.add(self.next_dispatch_at, lambda: None)

    def _dispatch_service(self, service: ServiceState) -> None:
        scheduler, fleet = service.scheduler, service.fleet
        fleet.refresh(self.now)
        service.limiter.capacity = fleet.capacity
        scheduler.blocked.clear()
        while scheduler.waiting and fleet.in_flight + 1 <= service.limiter.limit():
            request = scheduler.pop_next(self.now)
            if request is None:
                break
            if self.gate is not None and (wait := self.gate.wait_ns(request.gate_context, self.now)):
                self._refuse(request, wait / SECOND)
            elif not request.account.owners and not request.account.within_quota(request.units, self.now):
                self._refuse(request, 0.0, True)
            elif self._grant_expired(request):
                self.quotas.reconcile(request.account, -request.units, self.now)
                self._request_units(request)
            elif (server := fleet.choose(request, self.now)) is None:
                scheduler.push_front(request.account.customer, request)
                if self.gate is None:
                    break
                scheduler.blocked.add(request.account.customer)  # other customers may use other backends
            else:
                self._send(request, server)

    def _send(self, request: PendingRequest, server: Server) -> None:
        if not request.attempts:
            if not request.account.owners:
                self.quotas.reconcile(request.account, request.units, self.now)
                spend_units(request.account, request.units, self.now)
            request.account.recent_use.add(request.units, self.now)
            self.retry_budget.level = min(
                self.retry_budget.depth, self.retry_budget.level + self.settings.retry_budget_ratio
            )
        request.attempts.append(Attempt(server, self.now))
        request.account.attempts_in_flight += 1
        # A body that is still arriving costs the backend nothing yet, and its client may be slow.
        request.attempts[-1].counted = not request.unbuffered
        request.service.fleet.in_flight += not request.unbuffered
        expected = (
            request.deadline - self.now if request.unbuffered else request.service.fleet.expected_ns(request)
        )
        server.in_flight[request.id, len(request.attempts) - 1] = (self.now, max(1.0, expected))
        if self.gate is not None:
            self.gate.on_sent(request.gate_context, server.id, self.now)
        self.actions.append(Send(request.id, server.id, max(1, request.deadline - self.now)))
        number = len(request.attempts) - 1
        overdue_after = int(request.service.fleet.tail_ratio * request.service.fleet.expected_ns(request))
        attempt = request.attempts[number]
        self.timers.add(
            self.now + overdue_after,
            lambda: self._attempt_overdue(request, number),
            lambda: not attempt.in_flight,
        )

    def _attempt_overdue(self, request: PendingRequest, number: int) -> None:
        """Handle an attempt slower than TAIL_QUANTILE of all: schedule a hedged request, or cancel and retry.

        Hedging sends a second attempt in parallel. Without hedging only one attempt may be in flight.
        """
        last = number == len(request.attempts) - 1
        if (
            request.done
            or request.stream
            or request.unbuffered
            or not request.attempts[number].in_flight
            or not last
        ):
            return
        server = request.attempts[number].backend
        if request.service.limiter.latency < LATENCY_GOAL and request.attempts[number].counted:
            # The fleet answers in time, so this backend has the fault: its hanging attempt holds no slot.
            request.service.fleet.record_result(server, request.cls, True, self.now)
            self._release_slot(request, request.attempts[number])
        if (
            self.now + request.service.fleet.expected_ns(request) > request.target_at
            or self.retry_budget.level < 1
        ):
            return
        if self.settings.hedging:
            hedge_at = int(
                request.attempts[number].sent_at
                + HEDGE_AT * (request.target_at - request.attempts[number].sent_at)
            )
            self.timers.add(
                max(hedge_at, self.now),
                lambda: self._hedge(request, number),
                lambda: not request.attempts[number].in_flight,
            )
        elif self.settings.may_cancel and self._should_switch_backend(request, server):
            self.actions.append(Cancel(request.id, number))

    def _should_switch_backend(self, request: PendingRequest, server: Server) -> bool:
        """Return whether the backend is slow and another one would take the request now."""
        fleet = request.service.fleet
        if fleet.slowdown(server, self.now) <= 2 * fleet.tail_ratio:
            return False
        if self.gate is not None and self.gate.wait_ns(request.gate_context, self.now):
            return False
        return fleet.choose(request, self.now, server, parallel=True) is not None

    def _release_slot(self, request: PendingRequest, attempt: Attempt) -> None:
        """Stop counting an attempt that may hang against the concurrency limit."""
        request.service.fleet.in_flight -= attempt.counted
        attempt.counted = False

    def _suspected(self, event: AttemptSuspected) -> None:
        """Send a second attempt in parallel to one that may hang; the first may still be answered.

        This also happens after the latency target, as a late answer is better than none, but then not with
        the last LATE_RETRY_RESERVE of the retry budget.
        """
        request = self.pending.get(event.request)
        if (
            request is None
            or request.done
            or request.stream
            or request.unbuffered
            or event.attempt >= len(request.attempts)
        ):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.in_flight or request.in_flight() > 1:
            return
        self._release_slot(request, attempt)
        has_reserve = self.retry_budget.level > self.retry_budget.depth * LATE_RETRY_RESERVE
        self._retry(
            request,
            attempt.backend,
            latest=request.deadline if has_reserve else request.target_at,
            parallel=True,
        )

    def _hedge(self, request: PendingRequest, number: int) -> None:
        """Send a hedged request, some time after the attempt became overdue.

        Most overdue attempts are still answered in time, so hedging each at once would waste work.
        """
        if not request.done and request.attempts[number].in_flight and number == len(request.attempts) - 1:
            self._retry(request, request.attempts[number].backend)

    def _retry(
        self,
        request: PendingRequest,
        failed: Server,
        outcome: Outcome = Outcome.TIMEOUT,
        *,
        latest: int | None = None,
        parallel: bool = False,
    ) -> bool:
        """Send another attempt if the retry budget allows it; return whether it was sent.

        An attempt that never ran, or whose connection was reset at once, cost the fleet nothing, so its retry
        is free; `strict_retry_budget` charges for the reset. The new attempt must be expected to end by
        `latest`, by default the latency target. `parallel`: the failed attempt may still be in flight.
        """
        latest = request.target_at if latest is None else latest
        service, strict = request.service, self.settings.strict_retry_budget
        is_free = outcome in (Outcome.CONNECT_FAILED, Outcome.MOOT) or outcome is Outcome.STALE and not strict
        full_cost = strict or service.limiter.latency > LATENCY_GOAL or service.fleet.widespread_failure
        cost = 0.0 if is_free else 1.0 if full_cost else UNLOADED_RETRY_COST
        if self.retry_budget.level < cost or self.now + request.service.fleet.expected_ns(request) > latest:
            return False
        if self.gate is not None and self.gate.wait_ns(request.gate_context, self.now):
            return False
        server = service.fleet.choose(request, self.now, failed, parallel)
        if server is None and outcome in (Outcome.STALE, Outcome.RESET, Outcome.ERROR):
            # No other backend may take it: only the cell that has seen the request recognizes a repeat.
            server = service.fleet.choose(request, self.now)
        if server is not None:
            self.retry_budget.level -= cost
            self._send(request, server)
        return server is not None

    def _ended(self, event: AttemptEnded) -> None:
        request = self.pending.get(event.request)
        if (
            request is None
            or event.attempt >= len(request.attempts)
            or not request.attempts[event.attempt].in_flight
        ):
            return
        attempt = request.attempts[event.attempt]
        attempt.in_flight, attempt.may_have_run = False, not event.outcome.never_ran
        if attempt.abandoned and event.outcome is Outcome.CANCELLED and not request.unbuffered:
            request.service.fleet.record_abandoned(request, event.elapsed_ns)
        request.body_consumed = request.body_consumed or event.body_consumed
        request.account.attempts_in_flight -= 1
        in_flight = request.service.fleet.in_flight
        request.service.fleet.record_end(attempt.backend, request, event, self.now)
        self.quotas.attempt_ns_per_unit = sum(request.service.fleet.unit_latency_ns) / len(
            request.service.fleet.unit_latency_ns
        )
        # A single failing backend says nothing about the fleet: a failure lowers the limit only if most fail.
        widespread = request.service.fleet.widespread_failure and event.outcome in (
            Outcome.TIMEOUT,
            Outcome.FULL,
        )
        if (
            widespread
            or event.outcome is Outcome.OK
            and request.service.fleet.slowdown(attempt.backend, self.now) <= 2.0
        ):
            request.service.limiter.add_sample(
                2.0 if widespread else event.elapsed_ns / request.target_ns, in_flight
            )
        if event.outcome is Outcome.OK and event.units > 0 and self.settings.reconciles_units:
            self.quotas.reconcile(request.account, event.units - request.units, self.now)
        request.done = request.done or event.complete
        needs_no_retry = request.done or request.stream or request.in_flight() > 0
        if not needs_no_retry and not self._retry(request, attempt.backend, event.outcome):
            self._fail_or_refuse(request)
        self._forget_finished(request)

    def _fail_or_refuse(self, request: PendingRequest) -> None:
        """Refuse the request within its latency target, else fail it.

        A client retries at once after a refusal, which helps within the target and only adds load after it.
        """
        if request.may_refuse() and self.now < request.target_at:
            self._refuse(request, 0.0)
        else:
            self.actions.append(Fail(request.id))
            self._close(request)

    def _refuse(self, request: PendingRequest, wait_s: float, over_quota: bool = False) -> None:
        wait = int(min(wait_s * SECOND, self.settings.max_retry_after_ns)) if self.settings.retry_after else 0
        self.actions.append(Refuse(request.id, wait, over_quota))
        self._close(request)

    def _close(self, request: PendingRequest) -> None:
        if request.waiting and request.account.owners and not request.attempts:
            # Return units that were granted but not used.
            self.quotas.reconcile(request.account, -request.units, self.now)
        request.done, request.waiting, request.asking = True, False, False
        request.service.scheduler.head(request.account.customer)
        self._forget_finished(request)

    def _forget_finished(self, request: PendingRequest) -> None:
        if request.done and not request.in_flight():
            self.pending.pop(request.id, None)
