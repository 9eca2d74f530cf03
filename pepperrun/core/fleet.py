"""Choice of the backend for an attempt: latency estimates, outlier ejection and slow start."""

from __future__ import annotations

import random
from collections.abc import Callable

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND
from pepperrun.core.fair_scheduler import PendingRequest
from pepperrun.core.interface import AttemptEnded, BackendList, Gate, Outcome, Repeat, Settings
from pepperrun.core.state import BackendTable, Server
from pepperrun.core.unit_grants import HASH_MULTIPLIER

TAIL_QUANTILE = 0.97  # an attempt is overdue past this quantile of the latencies
TRIAL_SCORE = 0.6  # reached by two failures in a row; then only one safe request at a time tries a backend
EJECTION_SCORE = 0.8  # above it a backend is ejected: three failures in a row, as two happen by chance
SCORE_HALF_LIFE_NS = 8 * SECOND  # lets an ejected backend be tried again after 1 to 3 s
REPORT_TTL_NS = 2 * SECOND  # how long a failure report is passed on: enough to reach all gateways by gossip
SLOWDOWN_HALF_LIFE_NS = 4 * SECOND  # a slowdown estimate without samples returns to 1 with this half-life
MAX_SLOWDOWN = 20.0  # limit of one sample: a single slow answer must not exclude a backend
MIN_WINDOW_CAPACITY = 0.7  # share of a window's full capacity below which the window gets less load
CROSS_ZONE_FACTOR = 1.1  # latency factor of a backend in another zone: crossing zones is cheap
REFRESH_INTERVAL_NS = SECOND // 4  # much shorter than the slow start; list changes are applied at once
MIN_WINDOW = 8  # backends: with few, a gateway gets many samples of each and reuses connections
WINDOW_SPARE = 4  # backends beyond the attempts in flight, so that a busy or slow one can be skipped


class Fleet(BackendTable):
    """The backends of a service with their latency and failure estimates; chooses one for each attempt."""

    def __init__(
        self, settings: Settings, rng: random.Random, log: Callable[[str, str], None], gate: Gate | None
    ) -> None:
        super().__init__()
        self.settings, self.rng, self.log, self.gate = settings, rng, log, gate
        self.unit_latency_ns: list[float] = [
            cls.target_ns / 4 / settings.max_units for cls in settings.classes
        ]
        self.answer_counts = [0] * len(settings.classes)
        self.tail_ratio = 3.0  # the TAIL_QUANTILE of latency over expected; initial value
        # Ready backends, starting at this gateway's offset; `warm` holds those past their slow start.
        self.ring, self.warm = list[Server](), list[Server]()
        # `in_flight`: attempts that count against the concurrency limit. `capacity`: of the ready backends,
        # in backends; one that is warming up counts in part, an ejected one only in a widespread failure.
        self.in_flight, self.capacity = 0, 0.0
        # Most backends fail, so the cause is not a single backend: none is ejected and the limit is lowered.
        self.widespread_failure = False
        self.refreshed_at = -REFRESH_INTERVAL_NS
        # Failure score by backend and class: near 1 after failures in a row.
        self.backend_reports = gossip.BackendReports(REPORT_TTL_NS, settings.gateways)

    def update_settings(self, settings: Settings) -> None:
        """Apply settings with additional classes or another number of gateways."""
        new = settings.classes[len(self.unit_latency_ns) :]
        self.settings, self.refreshed_at = settings, -REFRESH_INTERVAL_NS
        self.unit_latency_ns += [cls.target_ns / 4 / settings.max_units for cls in new]
        self.answer_counts += [0] * len(new)

    def apply_list(self, event: BackendList, now: int) -> None:
        """Apply a list of backends or its changes; a restarted backend starts with a failure score of 0."""
        for server in self.update(event, now):
            for cls in range(len(self.unit_latency_ns)):
                self.backend_reports.record(server.id, cls, 0.0, server.started_at, False)
        self.backend_reports.retain(self.servers)
        self.refreshed_at = -REFRESH_INTERVAL_NS

    def ejected(self, now: int) -> set[int]:
        """Return the backends that are ejected for at least one class."""
        classes, servers = range(len(self.unit_latency_ns)), self.servers.items()
        return {
            id
            for id, s in servers
            if any(self.failure_score(s, cls, now) > EJECTION_SCORE for cls in classes)
        }

    def refresh(self, now: int) -> None:
        """Recompute what depends on all backends, at most once per interval, as the fleet may be large."""
        if now - self.refreshed_at < REFRESH_INTERVAL_NS:
            return
        self.refreshed_at = now
        ready = self.ready()
        lowest_score = {
            s: min(self.failure_score(s, cls, now) for cls in range(len(self.unit_latency_ns))) for s in ready
        }
        self.widespread_failure = 2 * sum(score > EJECTION_SCORE for score in lowest_score.values()) > len(
            ready
        )
        # Each gateway's window starts at another offset, so that together they cover the fleet evenly.
        ready.sort(key=lambda server: server.id * HASH_MULTIPLIER % 2**32)
        first = self.settings.me * len(ready) // self.settings.gateways
        self.ring = ready[first:] + ready[:first]
        # If distances are configured, near backends come first; the order among equals stays.
        if any(server.distance_factor for server in ready):
            self.ring.sort(key=self.distance)
        self.warm = [server for server in self.ring if self.capacity_share(server, now) >= 1]
        self.capacity = sum(
            self.capacity_share(s, now)
            for s in ready
            if self.widespread_failure or lowest_score[s] <= EJECTION_SCORE
        )

    def distance(self, server: Server) -> float:
        """Return the factor on a backend's expected latency for its network distance."""
        return server.distance_factor or (CROSS_ZONE_FACTOR if server.zone != self.settings.zone else 1.0)

    def failure_score(self, server: Server, cls: int, now: int) -> float:
        """Return the failure score, which decays so that an ejected backend is tried again."""
        score, at = self.backend_reports.known.get((server.id, cls), (0.0, 0))
        return float(score and score * 0.5 ** ((now - at) / SCORE_HALF_LIFE_NS))

    def capacity_share(self, server: Server, now: int) -> float:
        """Return the share of its capacity that a backend has at least, by the time since its start."""
        min_capacity, slow_start_ns = self.settings.slow_start_min_capacity, self.settings.slow_start_ns
        if server.started_at <= 0 or slow_start_ns <= 0 or now >= server.started_at + slow_start_ns:
            return 1.0
        return min_capacity + (1 - min_capacity) * max(0, now - server.started_at) / slow_start_ns

    def expected_ns(self, request: PendingRequest) -> float:
        """Return how long an attempt is expected to take, in ns."""
        return self.unit_latency_ns[request.cls] * request.units

    def slowdown(self, server: Server, now: int) -> float:
        """Return latency over expected: a mean that decays to 1, or the oldest attempt's age if worse."""
        factor: float = 1 + (server.slowdown - 1) * 0.5 ** ((now - server.sampled_at) / SLOWDOWN_HALF_LIFE_NS)
        if server.in_flight:
            sent, expected = next(iter(server.in_flight.values()))
            factor = max(factor, (now - sent) / expected / self.tail_ratio)
        return factor

    def draw_candidates(self, now: int) -> list[Server]:
        """Return a window of the fleet, as wide as this gateway needs for its attempts in flight.

        With a window, this gateway's attempts are a relevant part of the load of each backend in it. If all
        gateways used all backends, each would know too little of a backend's load and choose at random.

        A backend that is warming up is to get no more load than its present capacity allows. It is drawn with
        its share of the window's capacity, by all gateways and in bursts too. If nearly the whole window is
        warming up, each gets less than its share, and the rest goes to warm backends outside the window or
        waits.
        """
        width = max(MIN_WINDOW, self.in_flight + WINDOW_SPARE)
        window = [(server, self.capacity_share(server, now)) for server in self.ring[:width]]
        draw = self.rng.random() * max(sum(share for _, share in window), MIN_WINDOW_CAPACITY * len(window))
        for server, share in window:
            draw -= share * (share < 1)
            if draw < 0:
                return [server]
        return [server for server, share in window if share >= 1] or self.warm[:width]

    def choose(
        self, request: PendingRequest, now: int, avoid: Server | None = None, parallel: bool = False
    ) -> Server | None:
        """Return the backend with the least expected wait, or None if none may take the attempt.

        A failing backend gets single trial requests, one that is warming up its share of the load.
        `parallel`: the attempt may run in parallel to one that is in flight.
        """
        self.refresh(now)

        def eligible(server: Server) -> bool:
            score = 0.0 if self.widespread_failure else self.failure_score(server, request.cls, now)
            # On average one of all gateways makes a trial at a time; `cost` prefers the backend on trial.
            makes_trial = self.rng.random() * self.settings.gateways < 1 and not server.in_flight
            allowed = (
                score <= TRIAL_SCORE
                or score <= EJECTION_SCORE
                and makes_trial
                and request.request_class.repeat is Repeat.SAFE
            )
            allowed = (
                allowed and server is not avoid and request.may_send(server, now, self.settings, parallel)
            )
            return allowed and (self.gate is None or self.gate.may_send(request.gate_context, server.id, now))

        def cost(server: Server) -> float:
            trial = not self.widespread_failure and self.failure_score(server, request.cls, now) > TRIAL_SCORE
            wait = 0.0 if trial else self.slowdown(server, now) * (len(server.in_flight) + 1)
            return wait * self.rng.uniform(1, 1.05) * self.distance(server)

        candidates = [server for server in self.draw_candidates(now) if eligible(server)]
        # The drawn backend, which is warming up, may not be eligible.
        candidates = candidates or [server for server in self.warm if eligible(server)]
        return min(candidates, key=cost) if candidates else None

    def record_result(
        self, server: Server, cls: int, failed: bool, now: int, all_classes: bool = False
    ) -> None:
        """Update a backend's failure score for a class, or for all classes.

        Called when an attempt ends or is overdue.
        """
        if server.id not in self.servers:
            return  # no longer in the backend list
        for index in range(len(self.unit_latency_ns)) if all_classes else [cls]:
            before = self.failure_score(server, index, now)
            after = (1 + before) / 2 if failed else before / 2
            # With hundreds of gateways each uses a given backend only twice a minute, so results are shared.
            self.backend_reports.record(server.id, index, after, now, failed or before > 0.1)
            if (before > EJECTION_SCORE) != (after > EJECTION_SCORE):
                self.refreshed_at = -REFRESH_INTERVAL_NS
                change = "ejected after failures" if failed else "accepted again after successful answers"
                self.log(change, f"backend {server.id} is {change}")

    def record_abandoned(self, request: PendingRequest, elapsed_ns: int) -> None:
        """Add the duration of an attempt that was cancelled while running to the mean latency of its class.

        It does not count as an answer. Slow attempts are cancelled more often than fast ones, so a mean over
        answers alone would be too low.
        """
        step = max(0.01, 1 / max(1, self.answer_counts[request.cls]))
        self.unit_latency_ns[request.cls] += step * min(
            elapsed_ns / request.units, MAX_SLOWDOWN * self.unit_latency_ns[request.cls]
        )

    def record_end(self, server: Server, request: PendingRequest, event: AttemptEnded, now: int) -> None:
        """Update the estimates of latency and failures with the result of an attempt."""
        server.in_flight.pop((request.id, event.attempt), None)
        outcome = event.outcome
        self.in_flight -= request.attempts[event.attempt].counted
        ratio = event.elapsed_ns / max(1.0, self.expected_ns(request))
        if outcome is Outcome.OK:
            # It was unreachable, so it may have restarted: apply the slow start.
            server.started_at = max(server.started_at, server.unreachable_at)
            server.unreachable_at = 0
            server.slowdown += 0.2 * (min(ratio, MAX_SLOWDOWN) - self.slowdown(server, now))
            server.slowdown, server.sampled_at = max(0.2, server.slowdown), now
            self.answer_counts[request.cls] += 1
            step = max(0.01, 1 / self.answer_counts[request.cls])
            self.unit_latency_ns[request.cls] += step * (
                event.elapsed_ns / request.units - self.unit_latency_ns[request.cls]
            )
            self.tail_ratio = max(
                1.5, self.tail_ratio + 0.1 * (TAIL_QUANTILE if ratio > self.tail_ratio else TAIL_QUANTILE - 1)
            )
        # A parallel attempt was faster, which is no failure.
        superseded = outcome is Outcome.CANCELLED and request.done
        if outcome not in (Outcome.MOOT, Outcome.STALE) and not superseded:
            # A full backend rejects fast: not counted as a failure, it would look idle and get more load.
            all_classes = outcome in (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.FULL)
            server.unreachable_at = now if outcome is Outcome.CONNECT_FAILED else server.unreachable_at
            for _ in range(3 if outcome is Outcome.CONNECT_FAILED else 1):
                self.record_result(server, request.cls, outcome is not Outcome.OK, now, all_classes)
