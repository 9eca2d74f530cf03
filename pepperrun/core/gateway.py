"""All decisions of an admission gateway. A request meets its customer's quota (`quotas`), then goes out while
the bound on attempts (`bound`) has room, else waits for a below-goal turn (`turns`); only then a backend is
chosen (`fleet`). `Gateway` wires these together and keeps the rules of attempts and answers."""

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

HEDGE_AT = 0.4  # of the aim: a second copy then still comes in time
UNLOADED_RETRY_COST = (
    0.3  # of a further attempt while the fleet is not pressed: no load comes of it that matters
)
LATE_RETRY_RESERVE = (
    0.5  # of the depth of the retry budget: with less left it is for requests within their aim
)
DISPATCH_INTERVAL_NS = (
    SECOND // 50
)  # waiting work is looked at, by one timer at a time: slices fill and backends fade
MIN_WAIT_DIVISOR = (
    5  # of the aim: long against the time in which a slice fills, short against a client's return
)
ABANDONED_GRACE_NS = (
    150 * SECOND // 1000
)  # an attempt whose client has left is given so long to end by itself
LOG_INTERVAL_NS = 5 * SECOND  # one line of a kind in this time


class Gateway(UnitRequester):
    """An admission gateway. Give `handle` what happened; carry out the actions that it returns, in order."""

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
        """Classes, plans and lines that came to those known; another number of gateways."""
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
        self._dispatch()
        if self.quotas.dirty and not self.report_scheduled:  # in one message what a period brings
            self.report_scheduled = True
            self.agenda.add(self.now + self.quotas.message_interval_ns, self._tell)
        for peer, message in self.quotas.outbox.drain():
            message.receiver_incarnation = self.quotas.inbox.incarnation_of(peer)
            message.latency = self.limiter.latency
            message.backend_reports = (
                self.fleet.backend_reports.sample(self.rng, self.now)
                if self.settings.share_backend_reports
                else []
            )
            self.actions.append(SendPeerMessage(peer, gossip.pack(message)))

    def _tell(self) -> None:
        self.report_scheduled = False
        self.quotas.send_reports(self.now)

    def _client_left(self, event: ClientLeft | StreamStarted) -> None:
        """The client has left, or the attempt is now its own."""
        if (held := self.pending.get(event.request)) is not None:
            held.stream = isinstance(event, StreamStarted)
            if not held.stream:
                self._cancel_abandoned(held)
                self._close(held)

    def _expired(self, event: RequestExpired) -> None:
        if (held := self.pending.get(event.request)) is not None:
            self._close(held)

    def _cancel_abandoned(self, held: PendingRequest) -> None:
        """Nobody waits for its attempts any more, and closing the request alone would not end their work.

        What may not be repeated goes on: that it was cut off would not tell whether it ran. Each cancel costs
        a connection, so what is about to be answered may be: many clients may leave at once.
        """
        if not self.settings.cancel_when_client_left or held.request_class.repeat is not Repeat.SAFE:
            return
        for attempt in held.attempts:
            attempt.abandoned = attempt.in_flight

        def cancel() -> None:
            self.actions += [
                Cancel(held.id, at) for at, attempt in enumerate(held.attempts) if attempt.in_flight
            ]

        self.agenda.add(self.now + ABANDONED_GRACE_NS, cancel, lambda: not held.in_flight())

    def ejected(self) -> set[int]:
        """Backends of the list that are left out for their failures, whatever the class."""
        return {id for service in self.services for id in service.fleet.ejected(self.now)}

    def _peer_message(self, event: PeerMessage) -> None:
        if (message := self.quotas.receive(event.peer, event.data, self.now)) is None:
            if (count := self.quotas.inbox.malformed) > self.malformed_count:
                self.malformed_count, of = count, f"{count} so far, the last of gatekeeper {event.peer}"
                self._log("garbled", f"dropped messages that can't be read, {of}")
            return
        if len(self.services) == 1:
            self.limiter.add_latency(message.latency)
        for mark in message.backend_reports:
            if mark.backend in self.fleet.servers and mark.cls < len(self.settings.classes):
                fresh = mark.age_ns < REPORT_TTL_NS
                self.fleet.backend_reports.record(
                    mark.backend, mark.cls, mark.failure_score, self.now - mark.age_ns, fresh
                )
        for answer in message.unit_responses:
            account = self.quotas.accounts.get(answer.customer)
            if account is not None and event.peer in account.owners:  # nobody else may grant
                self._on_unit_response(answer, event.peer)

    def _log(self, kind: str, text: str) -> None:
        if self.log_throttle.allows(kind, self.now):
            self.actions.append(Log(text))

    def _backend_list(self, event: BackendList) -> None:
        if event.kind is ListKind.FAILED:
            self.agenda.add(self.now + SECOND, lambda: self.actions.append(Watch()))
            self._log("list", "the list of backends failed; going on with the last one")
            return
        for number, service in enumerate(self.services):
            own = tuple(backend for backend in event.backends if backend.service == number)
            service.fleet.apply_list(BackendList(event.kind, own), self.now)
            if all(line.state is not BackendState.READY for line in service.fleet.servers.values()):
                self._log("empty", "no backend is ready")

    def _arrived(self, event: Request) -> None:
        if event.id in self.pending:
            return
        plan, kind = self.settings.plans[event.plan], self.settings.classes[event.cls]
        account = self.quotas.accounts.get(event.customer) or self.quotas.create_account(event, self.now)
        self.quotas.accounts[event.customer], account.last_seen_at = account, self.now
        if self.quotas.reports_directly:
            self.quotas.dirty[event.customer] = None
        service = self.services[event.service]
        held = PendingRequest(event, account, kind, service, self.now)
        self.pending[event.id] = held
        # The time of one whose body is still coming has not begun.
        held.target_at -= (age := 0 if held.unbuffered else self._waited_ns(event))
        pressed = service.limiter.latency > service.limiter.goal / 2
        if self.settings.adaptive_latency_goal:  # there latency alone says little: others must be waiting too
            pressed = service.limiter.latency > service.limiter.goal and bool(service.scheduler.waiting)
        # Answer a tick or two before the client gives up, so that the answer is no later than it.
        last = max(self.now, held.deadline - 2 * self.settings.tick_ns)

        def over() -> bool:
            return held.done or held.stream

        self.agenda.add(last, lambda: None if over() else self._fail_or_refuse(held), over)
        if (
            age > self.settings.tick_ns
            and self.now + held.service.fleet.expected_ns(held) > held.target_at
            and pressed
        ):
            self._fail_or_refuse(held)
        elif account.owners and self.now < account.rejected_until:
            self._refuse(held, (account.rejected_until - self.now) / SECOND, True)
        elif not account.owners and not account.within_quota(event.units, self.now):
            self._refuse(held, (event.units - account.available_units(self.now)) / max(plan.rate, 1e-9), True)
        elif account.owners:
            self._request_units(held)
        elif self.quotas.members is not None and is_starved(account, self.now):
            self._refuse(held, refill_wait_s(account, event.units, self.now), True)
        else:
            self._admit(held)

    def _waited_ns(self, event: Request) -> int:
        """How long it has waited, at its client or while this stood still: others had more time left."""
        if event.limits is not None:
            return max(0, event.limits.initial_ns - event.left_ns)
        longest = self.max_remaining_ns[event.cls] = max(self.max_remaining_ns[event.cls], event.left_ns)
        return longest - event.left_ns

    def _admit(self, held: PendingRequest) -> None:
        held.asking = False
        fleet = held.service.fleet
        held.service.scheduler.add(held.account.customer, held)
        # What needs no waiting is not shed: else a slow spell would lock large requests out for good.
        # Where work takes much of the aim that would be at once: a part of the aim is there to wait in.
        least = held.target_ns // MIN_WAIT_DIVISOR if self.settings.adaptive_latency_goal else 1
        shed = max(self.now + least, int(held.target_at - fleet.tail_ratio * fleet.expected_ns(held)))

        def gone() -> bool:
            return not held.waiting

        self.agenda.add(shed, lambda: None if gone() else self._shed(held), gone)

    def _shed(self, held: PendingRequest) -> None:
        wait = refill_wait_s(held.account, held.units, self.now) if self.quotas.members is not None else 0.0
        self._refuse(held, wait, wait > 0)

    def _dispatch(self) -> None:
        """Sends what waits while the bound has room."""
        for service in self.services:
            self._dispatch_service(service)
        if any(service.scheduler.waiting for service in self.services) and self.next_dispatch_at <= self.now:
            self.next_dispatch_at = self.now + DISPATCH_INTERVAL_NS
            self.agenda.add(self.next_dispatch_at, lambda: None)

    def _dispatch_service(self, service: ServiceState) -> None:
        scheduler, fleet = service.scheduler, service.fleet
        fleet.refresh(self.now)
        service.limiter.capacity = fleet.capacity
        scheduler.blocked.clear()
        while scheduler.waiting and fleet.in_flight + 1 <= service.limiter.limit():
            held = scheduler.pop_next(self.now)
            if held is None:
                break
            if self.gate is not None and (wait := self.gate.wait_ns(held.gate_context, self.now)):
                self._refuse(held, wait / SECOND)
            elif not held.account.owners and not held.account.within_quota(held.units, self.now):
                self._refuse(held, 0.0, True)
            elif self._grant_expired(held):
                self.quotas.reconcile(held.account, -held.units, self.now)
                self._request_units(held)
            elif (server := fleet.choose(held, self.now)) is None:
                scheduler.push_front(held.account.customer, held)
                if self.gate is None:
                    break
                scheduler.blocked.add(held.account.customer)  # others may be let go elsewhere
            else:
                self._send(held, server)

    def _send(self, held: PendingRequest, server: Server) -> None:
        if not held.attempts:
            if not held.account.owners:
                self.quotas.reconcile(held.account, held.units, self.now)
                spend_units(held.account, held.units, self.now)
            held.account.recent_use.add(held.units, self.now)
            self.retry_budget.level = min(
                self.retry_budget.depth, self.retry_budget.level + self.settings.retry_budget_ratio
            )
        held.attempts.append(Attempt(server, self.now))
        held.account.attempts_in_flight += 1
        # A body that is still coming costs the backend nothing yet, and its client may be slow.
        held.attempts[-1].counted = not held.unbuffered
        held.service.fleet.in_flight += not held.unbuffered
        takes = held.deadline - self.now if held.unbuffered else held.service.fleet.expected_ns(held)
        server.in_flight[held.id, len(held.attempts) - 1] = (self.now, max(1.0, takes))
        if self.gate is not None:
            self.gate.on_sent(held.gate_context, server.id, self.now)
        self.actions.append(Send(held.id, server.id, max(1, held.deadline - self.now)))
        number = len(held.attempts) - 1
        after = int(held.service.fleet.tail_ratio * held.service.fleet.expected_ns(held))
        attempt = held.attempts[number]
        self.agenda.add(
            self.now + after, lambda: self._attempt_overdue(held, number), lambda: not attempt.in_flight
        )

    def _attempt_overdue(self, held: PendingRequest, number: int) -> None:
        """An attempt past nearly all latencies seen: a second copy, or a new one where one may be out."""
        last = number == len(held.attempts) - 1
        if held.done or held.stream or held.unbuffered or not held.attempts[number].in_flight or not last:
            return
        server = held.attempts[number].backend
        if held.service.limiter.latency < LATENCY_GOAL and held.attempts[number].counted:
            # The fleet answers in time, so the trouble is this backend's: what hangs there holds no place.
            held.service.fleet.record_result(server, held.cls, True, self.now)
            self._release_slot(held, held.attempts[number])
        if self.now + held.service.fleet.expected_ns(held) > held.target_at or self.retry_budget.level < 1:
            return
        if self.settings.hedging:
            at = int(
                held.attempts[number].sent_at + HEDGE_AT * (held.target_at - held.attempts[number].sent_at)
            )
            self.agenda.add(
                max(at, self.now),
                lambda: self._hedge(held, number),
                lambda: not held.attempts[number].in_flight,
            )
        elif self.settings.may_cancel and self._should_switch_backend(held, server):
            self.actions.append(Cancel(held.id, number))

    def _should_switch_backend(self, held: PendingRequest, server: Server) -> bool:
        """Is its backend slow, and would another take it now? It is not given up before that is so."""
        fleet = held.service.fleet
        if fleet.slowdown(server, self.now) <= 2 * fleet.tail_ratio:
            return False
        if self.gate is not None and self.gate.wait_ns(held.gate_context, self.now):
            return False
        return fleet.choose(held, self.now, server, beside=True) is not None

    def _release_slot(self, held: PendingRequest, attempt: Attempt) -> None:
        """What may hang counts no longer against the bound."""
        held.service.fleet.in_flight -= attempt.counted
        attempt.counted = False

    def _suspected(self, event: AttemptSuspected) -> None:
        """A second attempt beside one that may hang; the first stays out, as its backend may well be at work.

        Past the aim too, as a late answer is better than none, but not with the last of the retry budget.
        """
        held = self.pending.get(event.request)
        if held is None or held.done or held.stream or held.unbuffered or event.attempt >= len(held.attempts):
            return
        attempt = held.attempts[event.attempt]
        if not attempt.in_flight or held.in_flight() > 1:
            return
        self._release_slot(held, attempt)
        plenty = self.retry_budget.level > self.retry_budget.depth * LATE_RETRY_RESERVE
        self._retry(held, attempt.backend, latest=held.deadline if plenty else held.target_at, beside=True)

    def _hedge(self, held: PendingRequest, number: int) -> None:
        """Most that are overdue are answered in time all the same; a copy of each would be work wasted."""
        if not held.done and held.attempts[number].in_flight and number == len(held.attempts) - 1:
            self._retry(held, held.attempts[number].backend)

    def _retry(
        self,
        held: PendingRequest,
        failed: Server,
        outcome: Outcome = Outcome.TIMEOUT,
        *,
        latest: int | None = None,
        beside: bool = False,
    ) -> bool:
        """A further attempt, under the budget. What never ran, or broke at once, cost the fleet nothing.

        It must be expected to end by `latest`, the aim if left out. `beside`: that which failed may be out.
        """
        latest = held.target_at if latest is None else latest
        service, strict = held.service, self.settings.strict_retry_budget
        free = outcome in (Outcome.CONNECT_FAILED, Outcome.MOOT) or outcome is Outcome.STALE and not strict
        whole = strict or service.limiter.latency > LATENCY_GOAL or service.fleet.widespread_failure
        cost = 0.0 if free else 1.0 if whole else UNLOADED_RETRY_COST
        if self.retry_budget.level < cost or self.now + held.service.fleet.expected_ns(held) > latest:
            return False
        if self.gate is not None and self.gate.wait_ns(held.gate_context, self.now):
            return False
        server = service.fleet.choose(held, self.now, failed, beside)
        if server is None and outcome in (Outcome.STALE, Outcome.RESET, Outcome.ERROR):
            # It may go nowhere else: only the cell that has seen it knows a repeat.
            server = service.fleet.choose(held, self.now)
        if server is not None:
            self.retry_budget.level -= cost
            self._send(held, server)
        return server is not None

    def _ended(self, event: AttemptEnded) -> None:
        held = self.pending.get(event.request)
        if held is None or event.attempt >= len(held.attempts) or not held.attempts[event.attempt].in_flight:
            return
        attempt = held.attempts[event.attempt]
        attempt.in_flight, attempt.may_have_run = False, not event.outcome.never_ran
        if attempt.abandoned and event.outcome is Outcome.CANCELLED and not held.unbuffered:
            held.service.fleet.record_abandoned(held, event.elapsed_ns)
        held.body_consumed = held.body_consumed or event.body_consumed
        held.account.attempts_in_flight -= 1
        out = held.service.fleet.in_flight
        held.service.fleet.record_end(attempt.backend, held, event, self.now)
        self.quotas.attempt_ns_per_unit = sum(held.service.fleet.unit_latency_ns) / len(
            held.service.fleet.unit_latency_ns
        )
        # One bad backend says nothing of the fleet: only when most are bad does its failure cut the bound.
        shared = held.service.fleet.widespread_failure and event.outcome in (Outcome.TIMEOUT, Outcome.FULL)
        if (
            shared
            or event.outcome is Outcome.OK
            and held.service.fleet.slowdown(attempt.backend, self.now) <= 2.0
        ):
            held.service.limiter.add_sample(2.0 if shared else event.elapsed_ns / held.target_ns, out)
        if event.outcome is Outcome.OK and event.units > 0 and self.settings.reconciles_units:
            self.quotas.reconcile(held.account, event.units - held.units, self.now)
        held.done = held.done or event.complete
        over = held.done or held.stream or held.in_flight() > 0
        if not over and not self._retry(held, attempt.backend, event.outcome):
            self._fail_or_refuse(held)
        self._forget_finished(held)

    def _fail_or_refuse(self, held: PendingRequest) -> None:
        """A client retries after a refusal at once: of use while the aim stands, a burden after it."""
        if held.may_refuse() and self.now < held.target_at:
            self._refuse(held, 0.0)
        else:
            self.actions.append(Fail(held.id))
            self._close(held)

    def _refuse(self, held: PendingRequest, wait_s: float, over_quota: bool = False) -> None:
        wait = int(min(wait_s * SECOND, self.settings.max_retry_after_ns)) if self.settings.retry_after else 0
        self.actions.append(Refuse(held.id, wait, over_quota))
        self._close(held)

    def _close(self, held: PendingRequest) -> None:
        if held.waiting and held.account.owners and not held.attempts:
            self.quotas.reconcile(held.account, -held.units, self.now)  # granted and not sent: it goes back
        held.done, held.waiting, held.asking = True, False, False
        held.service.scheduler.head(held.account.customer)
        self._forget_finished(held)

    def _forget_finished(self, held: PendingRequest) -> None:
        if held.done and not held.in_flight():
            self.pending.pop(held.id, None)
