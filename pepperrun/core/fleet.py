"""Which backend takes an attempt: how each does, whom to leave out, what a cold one bears."""

from __future__ import annotations

import random
from collections.abc import Callable

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND
from pepperrun.core.interface import AttemptEnded, BackendList, Gate, Outcome, Repeat, Settings
from pepperrun.core.keepers import HASH
from pepperrun.core.state import Roster, Server
from pepperrun.core.turns import Held

TAIL = 0.97  # an attempt is overdue past this quantile of the latencies seen
TRIAL_AT = 0.6  # from two failures in a row on, one safe request at a time tries a backend
OUT_AT = 0.8  # a backend is left out past this badness: three failures in a row, as two happen by chance
BAD_FOR = 8 * SECOND  # badness halves over this: a trial after 1 to 3 s
NEWS_FOR = 2 * SECOND  # what is seen of a bad backend is passed on this long: time to reach all by hearsay
FORGET = 4 * SECOND  # a speed estimate without samples drifts back to normal over this
SLOW_MOST = 20.0  # a backend counts as at most this much slower: one stray answer must not bury it
COLD_WHOLE = 0.7  # of a window's full capacity: one with less left is not loaded as if it had this
FAR = 1.1  # a backend in another zone counts as this much slower: crossing is cheap
SURVEY_EVERY = SECOND // 4  # the fleet is looked over: short against warming; changes are seen at once
CHOICES = 8  # backends in a gateway's window at least: in a few it sees much of each and keeps connections
SPARE = 4  # and so many more than attempts out: one that is busy or slow can be passed over


class Fleet(Roster):
    """Which backends there are, how each does, and which one takes an attempt."""

    def __init__(
        self, settings: Settings, rng: random.Random, log: Callable[[str, str], None], gate: Gate | None
    ) -> None:
        super().__init__()
        self.settings, self.rng, self.log, self.gate = settings, rng, log, gate
        self.typical: list[float] = [cls.aim_ns / 4 / settings.max_units for cls in settings.classes]
        self.seen = [0] * len(settings.classes)
        self.tail = 3.0  # the TAIL quantile of latency over expected; until seen
        self.ring, self.hot = list[Server](), list[Server]()  # ready ones, from this gateway's place on
        self.out, self.capacity = 0, 0.0  # backends in full use, cold ones in part
        self.shared = False  # most look bad: the trouble is not theirs, nobody is ejected, load is cut
        self.surveyed = -SURVEY_EVERY
        # Badness by backend and class: near 1 after failures in a row.
        self.news = gossip.News(NEWS_FOR, settings.gateways)

    def resettle(self, settings: Settings) -> None:
        """More classes, another number of gateways."""
        new = settings.classes[len(self.typical) :]
        self.settings, self.surveyed = settings, -SURVEY_EVERY
        self.typical += [cls.aim_ns / 4 / settings.max_units for cls in new]
        self.seen += [0] * len(new)

    def listed(self, event: BackendList, now: int) -> None:
        """The list has changed: what starts anew begins with a clean sheet."""
        for server in self.update(event, now):
            for cls in range(len(self.typical)):
                self.news.see(server.id, cls, 0.0, server.born, False)
        self.news.forget(self.servers)
        self.surveyed = -SURVEY_EVERY

    def avoided(self, now: int) -> set[int]:
        """Backends that are left out for their failures, whatever the class."""
        classes, servers = range(len(self.typical)), self.servers.items()
        return {id for id, s in servers if any(self.bad(s, cls, now) > OUT_AT for cls in classes)}

    def survey(self, now: int) -> None:
        """Looks over the whole fleet, now and then: it may be large."""
        if now - self.surveyed < SURVEY_EVERY:
            return
        self.surveyed = now
        ready = self.ready()
        worst = {s: min(self.bad(s, cls, now) for cls in range(len(self.typical))) for s in ready}
        self.shared = 2 * sum(bad > OUT_AT for bad in worst.values()) > len(ready)
        # Each gateway's window begins elsewhere, so that all together cover the fleet evenly.
        ready.sort(key=lambda server: server.id * HASH % 2**32)
        first = self.settings.me * len(ready) // self.settings.gateways
        self.ring = ready[first:] + ready[:first]
        if any(server.far for server in ready):  # distances are told: near ones first, among them as before
            self.ring.sort(key=self.far)
        self.hot = [server for server in self.ring if self.warmth(server, now) >= 1]
        self.capacity = sum(self.warmth(s, now) for s in ready if self.shared or worst[s] <= OUT_AT)

    def far(self, server: Server) -> float:
        """How much slower a backend counts for its distance."""
        return server.far or (FAR if server.zone != self.settings.zone else 1.0)

    def bad(self, server: Server, cls: int, now: int) -> float:
        """It fades, so that the backend is tried again."""
        bad, at = self.news.known.get((server.id, cls), (0.0, 0))
        return float(bad and bad * 0.5 ** ((now - at) / BAD_FOR))

    def warmth(self, server: Server, now: int) -> float:
        """The part of its work that a backend can do at least, by its age."""
        cold_from, cold_ns = self.settings.cold_from, self.settings.cold_ns
        if server.born <= 0 or cold_ns <= 0 or now >= server.born + cold_ns:
            return 1.0
        return cold_from + (1 - cold_from) * max(0, now - server.born) / cold_ns

    def expected(self, held: Held) -> float:
        """How long an attempt is expected to take, ns."""
        return self.typical[held.cls] * held.units

    def speed(self, server: Server, now: int) -> float:
        """Latency over expected: a mean that drifts back to 1, or the age of its oldest attempt if worse."""
        slow: float = 1 + (server.slow - 1) * 0.5 ** ((now - server.sampled) / FORGET)
        if server.pending:
            sent, expected = next(iter(server.pending.values()))
            slow = max(slow, (now - sent) / expected / self.tail)
        return slow

    def draw(self, now: int) -> list[Server]:
        """A window of the fleet as wide as this gateway's use. Of backends that all use, what one gateway has
        out is next to nothing of the load: each would throw at random.

        Rule 4: a cold backend is drawn for its part of the window's capacity: all gateways keep to it, in
        bursts too. Of a window that is cold nearly whole it is less: the rest goes to warm ones or waits.
        """
        width = max(CHOICES, self.out + SPARE)
        warm = [(server, self.warmth(server, now)) for server in self.ring[:width]]
        lot = self.rng.random() * max(sum(part for _, part in warm), COLD_WHOLE * len(warm))
        for server, part in warm:
            lot -= part * (part < 1)
            if lot < 0:
                return [server]
        return [server for server, part in warm if part >= 1] or self.hot[:width]

    def choose(
        self, held: Held, now: int, avoid: Server | None = None, beside: bool = False
    ) -> Server | None:
        """The backend with the least expected wait; a failing one gets single trials, a cold one its part."""
        self.survey(now)

        def able(server: Server) -> bool:
            bad = 0.0 if self.shared else self.bad(server, held.cls, now)
            # A trial goes first; of hundreds of gateways about one makes it at a time.
            trier = self.rng.random() * self.settings.gateways < 1 and not server.pending
            fit = bad <= TRIAL_AT or bad <= OUT_AT and trier and held.kind.repeat is Repeat.SAFE
            fit = fit and server is not avoid and held.may_send(server, now, self.settings, beside)
            return fit and (self.gate is None or self.gate.may(held.lot, server.id, now))

        def cost(server: Server) -> float:
            trial = not self.shared and self.bad(server, held.cls, now) > TRIAL_AT
            wait = 0.0 if trial else self.speed(server, now) * (len(server.pending) + 1)
            return wait * self.rng.uniform(1, 1.05) * self.far(server)

        some = [server for server in self.draw(now) if able(server)]
        some = some or [server for server in self.hot if able(server)]  # where the cold one drawn is not able
        return min(some, key=cost) if some else None

    def see(self, server: Server, cls: int, failed: bool, now: int, sure: bool = False) -> None:
        """An attempt's end, or its being overdue, tells how a backend does with a class, or all if `sure`."""
        if server.id not in self.servers:
            return  # gone for good
        for index in range(len(self.typical)) if sure else [cls]:
            before = self.bad(server, index, now)
            after = (1 + before) / 2 if failed else before / 2
            # Of hundreds of gateways each sees a given backend twice a minute: what one sees, all hear.
            self.news.see(server.id, index, after, now, failed or before > 0.1)
            if (before > OUT_AT) != (after > OUT_AT):
                self.surveyed = -SURVEY_EVERY
                what = "left out: failures" if failed else "answers again"
                self.log(what, f"backend {server.id} {what}")

    def cut_short(self, held: Held, elapsed_ns: int) -> None:
        """An attempt was given up that was still at work: it counts as time, and not as an answer.

        Long attempts are cut short more often than quick ones; answers alone would make all look quick.
        """
        step = max(0.01, 1 / max(1, self.seen[held.cls]))
        self.typical[held.cls] += step * min(elapsed_ns / held.units, SLOW_MOST * self.typical[held.cls])

    def ended(self, server: Server, held: Held, event: AttemptEnded, now: int) -> None:
        """Learn from an attempt's end."""
        server.pending.pop((held.id, event.attempt), None)
        outcome = event.outcome
        self.out -= held.attempts[event.attempt].counts
        ratio = event.elapsed_ns / max(1.0, self.expected(held))
        if outcome is Outcome.OK:
            server.born = max(server.born, server.down_at)  # it may have restarted: ramp it
            server.down_at = 0
            server.slow += 0.2 * (min(ratio, SLOW_MOST) - self.speed(server, now))
            server.slow, server.sampled = max(0.2, server.slow), now
            self.seen[held.cls] += 1
            step = max(0.01, 1 / self.seen[held.cls])
            self.typical[held.cls] += step * (event.elapsed_ns / held.units - self.typical[held.cls])
            self.tail = max(1.5, self.tail + 0.1 * (TAIL if ratio > self.tail else TAIL - 1))
        superseded = outcome is Outcome.CANCELLED and held.done  # another was quicker: no failure
        if outcome not in (Outcome.MOOT, Outcome.STALE) and not superseded:
            # A full backend fails fast too: without this it would look idle and draw ever more traffic.
            sure = outcome in (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.FULL)
            server.down_at = now if outcome is Outcome.CONNECT_FAILED else server.down_at
            for _ in range(3 if outcome is Outcome.CONNECT_FAILED else 1):
                self.see(server, held.cls, outcome is not Outcome.OK, now, sure)
