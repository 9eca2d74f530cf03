"""Which backend takes an attempt: how each does, whom to leave out, what a cold one bears."""

from __future__ import annotations

import random
from collections.abc import Callable

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND
from pepperrun.core.fair_scheduler import PendingRequest
from pepperrun.core.interface import AttemptEnded, BackendList, Gate, Outcome, Repeat, Settings
from pepperrun.core.state import BackendTable, Server
from pepperrun.core.unit_grants import HASH_MULTIPLIER

TAIL_QUANTILE = 0.97  # an attempt is overdue past this quantile of the latencies seen
TRIAL_SCORE = 0.6  # from two failures in a row on, one safe request at a time tries a backend
EJECTION_SCORE = (
    0.8  # a backend is left out past this badness: three failures in a row, as two happen by chance
)
SCORE_HALF_LIFE_NS = 8 * SECOND  # badness halves over this: a trial after 1 to 3 s
REPORT_TTL_NS = (
    2 * SECOND
)  # what is seen of a bad backend is passed on this long: time to reach all by hearsay
SLOWDOWN_HALF_LIFE_NS = 4 * SECOND  # a speed estimate without samples drifts back to normal over this
MAX_SLOWDOWN = 20.0  # a backend counts as at most this much slower: one stray answer must not bury it
MIN_WINDOW_CAPACITY = 0.7  # of a window's full capacity: one with less left is not loaded as if it had this
CROSS_ZONE_FACTOR = 1.1  # a backend in another zone counts as this much slower: crossing is cheap
REFRESH_INTERVAL_NS = SECOND // 4  # the fleet is looked over: short against warming; changes are seen at once
MIN_WINDOW = 8  # backends in a gateway's window at least: in a few it sees much of each and keeps connections
WINDOW_SPARE = 4  # and so many more than attempts out: one that is busy or slow can be passed over


class Fleet(BackendTable):
    """Which backends there are, how each does, and which one takes an attempt."""

    def __init__(
        self, settings: Settings, rng: random.Random, log: Callable[[str, str], None], gate: Gate | None
    ) -> None:
        super().__init__()
        self.settings, self.rng, self.log, self.gate = settings, rng, log, gate
        self.unit_latency_ns: list[float] = [
            cls.target_ns / 4 / settings.max_units for cls in settings.classes
        ]
        self.answer_counts = [0] * len(settings.classes)
        self.tail_ratio = 3.0  # the TAIL_QUANTILE quantile of latency over expected; until seen
        self.ring, self.warm = list[Server](), list[Server]()  # ready ones, from this gateway's place on
        self.in_flight, self.capacity = 0, 0.0  # backends in full use, cold ones in part
        self.widespread_failure = (
            False  # most look bad: the trouble is not theirs, nobody is ejected, load is cut
        )
        self.refreshed_at = -REFRESH_INTERVAL_NS
        # Badness by backend and class: near 1 after failures in a row.
        self.backend_reports = gossip.BackendReports(REPORT_TTL_NS, settings.gateways)

    def update_settings(self, settings: Settings) -> None:
        """More classes, another number of gateways."""
        new = settings.classes[len(self.unit_latency_ns) :]
        self.settings, self.refreshed_at = settings, -REFRESH_INTERVAL_NS
        self.unit_latency_ns += [cls.target_ns / 4 / settings.max_units for cls in new]
        self.answer_counts += [0] * len(new)

    def apply_list(self, event: BackendList, now: int) -> None:
        """The list has changed: what starts anew begins with a clean sheet."""
        for server in self.update(event, now):
            for cls in range(len(self.unit_latency_ns)):
                self.backend_reports.record(server.id, cls, 0.0, server.started_at, False)
        self.backend_reports.retain(self.servers)
        self.refreshed_at = -REFRESH_INTERVAL_NS

    def ejected(self, now: int) -> set[int]:
        """Backends that are left out for their failures, whatever the class."""
        classes, servers = range(len(self.unit_latency_ns)), self.servers.items()
        return {
            id
            for id, s in servers
            if any(self.failure_score(s, cls, now) > EJECTION_SCORE for cls in classes)
        }

    def refresh(self, now: int) -> None:
        """Looks over the whole fleet, now and then: it may be large."""
        if now - self.refreshed_at < REFRESH_INTERVAL_NS:
            return
        self.refreshed_at = now
        ready = self.ready()
        worst = {
            s: min(self.failure_score(s, cls, now) for cls in range(len(self.unit_latency_ns))) for s in ready
        }
        self.widespread_failure = 2 * sum(bad > EJECTION_SCORE for bad in worst.values()) > len(ready)
        # Each gateway's window begins elsewhere, so that all together cover the fleet evenly.
        ready.sort(key=lambda server: server.id * HASH_MULTIPLIER % 2**32)
        first = self.settings.me * len(ready) // self.settings.gateways
        self.ring = ready[first:] + ready[:first]
        if any(
            server.distance_factor for server in ready
        ):  # distances are told: near ones first, among them as before
            self.ring.sort(key=self.distance)
        self.warm = [server for server in self.ring if self.capacity_share(server, now) >= 1]
        self.capacity = sum(
            self.capacity_share(s, now)
            for s in ready
            if self.widespread_failure or worst[s] <= EJECTION_SCORE
        )

    def distance(self, server: Server) -> float:
        """How much slower a backend counts for its distance."""
        return server.distance_factor or (CROSS_ZONE_FACTOR if server.zone != self.settings.zone else 1.0)

    def failure_score(self, server: Server, cls: int, now: int) -> float:
        """It fades, so that the backend is tried again."""
        bad, at = self.backend_reports.known.get((server.id, cls), (0.0, 0))
        return float(bad and bad * 0.5 ** ((now - at) / SCORE_HALF_LIFE_NS))

    def capacity_share(self, server: Server, now: int) -> float:
        """The part of its work that a backend can do at least, by its age."""
        cold_from, cold_ns = self.settings.slow_start_min_capacity, self.settings.slow_start_ns
        if server.started_at <= 0 or cold_ns <= 0 or now >= server.started_at + cold_ns:
            return 1.0
        return cold_from + (1 - cold_from) * max(0, now - server.started_at) / cold_ns

    def expected_ns(self, held: PendingRequest) -> float:
        """How long an attempt is expected to take, ns."""
        return self.unit_latency_ns[held.cls] * held.units

    def slowdown(self, server: Server, now: int) -> float:
        """Latency over expected: a mean that drifts back to 1, or the age of its oldest attempt if worse."""
        slow: float = 1 + (server.slowdown - 1) * 0.5 ** ((now - server.sampled_at) / SLOWDOWN_HALF_LIFE_NS)
        if server.in_flight:
            sent, expected = next(iter(server.in_flight.values()))
            slow = max(slow, (now - sent) / expected / self.tail_ratio)
        return slow

    def draw_candidates(self, now: int) -> list[Server]:
        """A window of the fleet as wide as this gateway's use. Of backends that all use, what one gateway has
        out is next to nothing of the load: each would throw at random.

        Rule 4: a cold backend is drawn for its part of the window's capacity: all gateways keep to it, in
        bursts too. Of a window that is cold nearly whole it is less: the rest goes to warm ones or waits.
        """
        width = max(MIN_WINDOW, self.in_flight + WINDOW_SPARE)
        warm = [(server, self.capacity_share(server, now)) for server in self.ring[:width]]
        lot = self.rng.random() * max(sum(part for _, part in warm), MIN_WINDOW_CAPACITY * len(warm))
        for server, part in warm:
            lot -= part * (part < 1)
            if lot < 0:
                return [server]
        return [server for server, part in warm if part >= 1] or self.warm[:width]

    def choose(
        self, held: PendingRequest, now: int, avoid: Server | None = None, beside: bool = False
    ) -> Server | None:
        """The backend with the least expected wait; a failing one gets single trials, a cold one its part."""
        self.refresh(now)

        def able(server: Server) -> bool:
            bad = 0.0 if self.widespread_failure else self.failure_score(server, held.cls, now)
            # A trial goes first; of hundreds of gateways about one makes it at a time.
            trier = self.rng.random() * self.settings.gateways < 1 and not server.in_flight
            fit = (
                bad <= TRIAL_SCORE
                or bad <= EJECTION_SCORE
                and trier
                and held.request_class.repeat is Repeat.SAFE
            )
            fit = fit and server is not avoid and held.may_send(server, now, self.settings, beside)
            return fit and (self.gate is None or self.gate.may_send(held.gate_context, server.id, now))

        def cost(server: Server) -> float:
            trial = not self.widespread_failure and self.failure_score(server, held.cls, now) > TRIAL_SCORE
            wait = 0.0 if trial else self.slowdown(server, now) * (len(server.in_flight) + 1)
            return wait * self.rng.uniform(1, 1.05) * self.distance(server)

        some = [server for server in self.draw_candidates(now) if able(server)]
        some = some or [
            server for server in self.warm if able(server)
        ]  # where the cold one drawn is not able
        return min(some, key=cost) if some else None

    def record_result(
        self, server: Server, cls: int, failed: bool, now: int, all_classes: bool = False
    ) -> None:
        """An attempt's end, or its being overdue, tells how a backend does with a class, or with all."""
        if server.id not in self.servers:
            return  # gone for good
        for index in range(len(self.unit_latency_ns)) if all_classes else [cls]:
            before = self.failure_score(server, index, now)
            after = (1 + before) / 2 if failed else before / 2
            # Of hundreds of gateways each sees a given backend twice a minute: what one sees, all hear.
            self.backend_reports.record(server.id, index, after, now, failed or before > 0.1)
            if (before > EJECTION_SCORE) != (after > EJECTION_SCORE):
                self.refreshed_at = -REFRESH_INTERVAL_NS
                what = "left out: failures" if failed else "answers again"
                self.log(what, f"backend {server.id} {what}")

    def record_abandoned(self, held: PendingRequest, elapsed_ns: int) -> None:
        """An attempt was given up that was still at work: it counts as time, and not as an answer.

        Long attempts are cut short more often than quick ones; answers alone would make all look quick.
        """
        step = max(0.01, 1 / max(1, self.answer_counts[held.cls]))
        self.unit_latency_ns[held.cls] += step * min(
            elapsed_ns / held.units, MAX_SLOWDOWN * self.unit_latency_ns[held.cls]
        )

    def record_end(self, server: Server, held: PendingRequest, event: AttemptEnded, now: int) -> None:
        """Learn from an attempt's end."""
        server.in_flight.pop((held.id, event.attempt), None)
        outcome = event.outcome
        self.in_flight -= held.attempts[event.attempt].counted
        ratio = event.elapsed_ns / max(1.0, self.expected_ns(held))
        if outcome is Outcome.OK:
            server.started_at = max(
                server.started_at, server.unreachable_at
            )  # it may have restarted: ramp it
            server.unreachable_at = 0
            server.slowdown += 0.2 * (min(ratio, MAX_SLOWDOWN) - self.slowdown(server, now))
            server.slowdown, server.sampled_at = max(0.2, server.slowdown), now
            self.answer_counts[held.cls] += 1
            step = max(0.01, 1 / self.answer_counts[held.cls])
            self.unit_latency_ns[held.cls] += step * (
                event.elapsed_ns / held.units - self.unit_latency_ns[held.cls]
            )
            self.tail_ratio = max(
                1.5, self.tail_ratio + 0.1 * (TAIL_QUANTILE if ratio > self.tail_ratio else TAIL_QUANTILE - 1)
            )
        superseded = outcome is Outcome.CANCELLED and held.done  # another was quicker: no failure
        if outcome not in (Outcome.MOOT, Outcome.STALE) and not superseded:
            # A full backend fails fast too: without this it would look idle and draw ever more traffic.
            all_classes = outcome in (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.FULL)
            server.unreachable_at = now if outcome is Outcome.CONNECT_FAILED else server.unreachable_at
            for _ in range(3 if outcome is Outcome.CONNECT_FAILED else 1):
                self.record_result(server, held.cls, outcome is not Outcome.OK, now, all_classes)
