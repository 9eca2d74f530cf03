"""The agreement of one core machine: register, freshness of what is known, upkeep of the voters. No I/O.

Messages, links and the time come in; messages, results and changes are taken out, after what they rest on is
synced. Nobody leads: any machine runs the rounds of the changes that it was given. One duty is one machine's,
the keeper's: it changes the voters, so that no two do it at once. The keeper is part of what is agreed on. It
names its successor when it stops; where a majority of the voters has not heard it for `pace.silent`, the next
in order takes over by a round.

Freshness: each `pace.read` each machine asks the voters whether they have taken anything later than what it
knows as chosen. If those that decide have not, then what it knew was the newest when it asked: whatever is
chosen, a majority has taken. No leases, no clocks of others.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from pepperrun.consensus import messages
from pepperrun.consensus.liveness import Hearing, Opinion
from pepperrun.consensus.messages import Message
from pepperrun.consensus.register import Phase, Register, Result
from pepperrun.consensus.voter_selection import successors, wanted
from pepperrun.consensus.values import NONE, Ballot, Body, Life, Memory, Op, Store, Value
from pepperrun.consensus.voter import Apply, Change, Pace

__all__ = ["Apply", "Change", "Pace", "Replica", "Result"]

MOST_ASKED = 4  # read rounds whose answers still count


@dataclass(slots=True)
class Reading:
    """A read round: when it was asked, and what the voters had taken by then or later."""

    sent_at: int
    taken: dict[Life, Ballot] = field(default_factory=dict)


class Replica:
    """One core machine, `me` by its ip. After each call take out what is there: messages, results, changes.

    `memory` comes from the disk (`storage.DiskStore.begin`) and `store.save` syncs it before messages are
    given out. `regions`: the region of each zone. `most`: voters at most (odd).
    """

    def __init__(
        self,
        me: str,
        memory: Memory,
        store: Store,
        apply: Apply,
        *,
        zone: str,
        regions: Mapping[str, str],
        most: int,
        seed: int,
        now: int,
        pace: Pace | None = None,
    ) -> None:
        self.me, self.regions, self.most, self.pace = me, regions, most, pace or Pace()
        self.register = Register(me, memory, store, apply, seed, now, self.pace)
        self.register.plan = self._plan
        self.hearing = Hearing(me, memory.life, zone, now)
        self.now = self.read_at = self.ticked = now
        self.stamp = 0
        self.readings: dict[int, Reading] = {}
        self.fresh: int | None = None
        self.later, self.later_since = NONE, now  # taken by somebody, and not known as chosen
        self.look = False  # at whether the voters are as they should be
        self.stopping, self.stopped_at = False, now
        self.next_keeper = ""  # who should be the keeper instead of the one there is
        self.left_at: dict[str, int] = {}  # machines that stop, and when they said so last

    # What is held.

    @property
    def number(self) -> int:
        """Of the newest body known as chosen; -1 while none is known."""
        chosen = self.register.memory.chosen
        return chosen.value.number if chosen else -1

    @property
    def body(self) -> Body:
        """The newest body known as chosen (not to be changed); empty while none is known."""
        chosen = self.register.memory.chosen
        return chosen.body if chosen else {}

    @property
    def value(self) -> Value | None:
        """The newest value known as chosen."""
        chosen = self.register.memory.chosen
        return chosen.value if chosen else None

    @property
    def fresh_at(self) -> int | None:
        """Steady ns at which `body` was surely the newest; None: not known in this life of the process."""
        return self.fresh

    @property
    def voters(self) -> set[str]:
        """Ips of the machines that vote: links to them are wanted."""
        return set(self._known.ips) if self._known else set()

    @property
    def votes(self) -> bool:
        """Does this life of this machine vote?"""
        return self.value is not None and self.register.life in self.value.voters

    @property
    def keeper(self) -> str:
        """Ip of the machine that sees to the voters; empty while not known."""
        return self.value.keeper if self.value else ""

    @property
    def minority(self) -> bool:
        """Are fewer up than decide? Then changes fail at once."""
        return not self._decides()

    @property
    def leaving(self) -> set[str]:
        """Machines that were told to stop, and have not started anew since."""
        return set(self.left_at)

    @property
    def released(self) -> bool:
        """May this machine, which is to stop, end for good with no vote and no duty left behind?

        True as well where nobody is there to take its place: then it stays named, as a machine that is down.
        """
        value, accepted = self.value, self.register.memory.accepted
        if value is None:
            return True
        heirs = set(self._up()) - self.leaving - {self.me}
        if value.keeper == self.me and heirs & value.ips:
            return False
        if value.was or (accepted is not None and accepted.ballot > self.register.chosen_at):
            return False  # a change is under way, and may concern this machine
        if self.me in value.ips:
            return not heirs - value.ips
        # An older value may name it not, and a newer one that it has not heard of name it.
        return not heirs or (self.fresh is not None and self.fresh >= self.stopped_at)

    @property
    def _known(self) -> Value | None:
        """What is chosen, else what was taken: who votes, as far as is known here."""
        accepted = self.register.memory.accepted
        return self.value or (accepted.value if accepted else None)

    def _up(self) -> dict[str, str]:
        return self.hearing.up(self.now, self.pace.up)

    def _decides(self) -> bool:
        value = self._known
        if value is None:
            return False
        up = self.hearing.reached(self.now, self.pace.up)
        # Who is linked and has not told its life yet may well be the one that votes.
        return value.quorum(
            one for group in value.sets for one in group if one.ip in up and up[one.ip] in ("", one.life)
        )

    # Events.

    def _at(self, now: int) -> None:
        """The time goes on. A process that stood still can't say who was silent meanwhile."""
        if now - max(self.ticked, self.read_at) > 2 * self.pace.read:
            self.hearing.thawed(now)
            self.ticked = now
        self.now = now

    def connected(self, ip: str, zone: str, now: int) -> None:
        """A link to another core machine is up (after its hello)."""
        if ip == self.me:
            return
        self._at(now)
        self.hearing.connected(ip, zone, now)
        self.hearing.lives.pop(ip, None)  # its disk may be another than on the link before
        self.left_at.pop(ip, None)
        self.register.others = set(self.hearing.links)
        if self.value is None or ip in self.value.ips:
            self.read_at = min(self.read_at, now + self.pace.read // 8)

    def disconnected(self, ip: str, now: int) -> None:
        """The last link to it is gone."""
        self._at(now)
        self.hearing.disconnected(ip)
        self.register.others = set(self.hearing.links)

    def receive(self, ip: str, message: Message, now: int) -> None:
        """A message (`m`) of another core machine; PepperrunError, and nothing done, where it can't be meant.

        Kinds of a later version are passed over, so that its machines and this one can agree meanwhile.
        """
        if not messages.known(message):
            return
        made = messages.read(message)
        if ip == self.me:
            return
        self._at(now)
        kind = made["t"]
        self.hearing.message(ip, made.get("l"), now)
        if kind == "read":
            if now - self.left_at.get(ip, now) > self.pace.up:
                del self.left_at[ip]  # it says no more that it stops
            self._asked(ip, made)
        elif kind == "leave":
            self.look |= ip not in self.left_at
            self.left_at[ip] = now
        elif kind == "seen":
            self._seen(ip, made)
        else:
            chosen = self.register.chosen_at
            self.register.take(ip, made, now)
            self.look = self.register.chosen_at != chosen
            if self.look and self.fresh is None:  # the first word of it: is that the newest?
                self.read_at = min(self.read_at, now + self.pace.read // 8)
        self._start()

    def propose(self, op: Op, now: int, patience: int | None = None) -> int:
        """An operator's change; the token under which its result will be told. `patience`: ns."""
        self._at(now)
        token = self.register.wish(op, now + (self.pace.patience if patience is None else patience))
        self._start()
        return token

    def retire(self, now: int) -> None:
        """This process is to stop: its duty and its vote go to others. Goes on otherwise until it ends.

        It should end when it is `released`, or when its time is over.
        """
        self._at(now)
        self.stopping = self.look = True
        self.stopped_at = now  # voters that answer a later read have heard of it
        self._tell_leave()
        self._succession(self._up())
        self._start()

    def due(self) -> int:
        """When `tick` is to be called at the latest (steady ns)."""
        due = self.register.due()
        return self.read_at if due is None else min(due, self.read_at)

    def tick(self, now: int) -> None:
        """Does what is due."""
        self._at(now)
        self.ticked = now
        self.register.tick(now)
        if now >= self.read_at:
            self.read_at = now + self.pace.read
            self._read()
            self._succession(self._up())
            self.look = True
            self.register.flush(self.register.broken or now - self.register.chosen_when >= self.pace.lazy)
        self._start()

    # SharedOutcomes.

    def _start(self) -> None:
        """Begins a round where there is need of one, fails what waits where none can succeed."""
        register, value = self.register, self.value
        if value is not None and value.keeper == self.next_keeper:
            self.next_keeper = ""
        look = self.look and value is not None and (bool(self.next_keeper) or self.me == value.keeper)
        self.look = False
        if not (register.wishes or look or self.later > register.chosen_at):
            return
        if not self._decides():
            if register.wishes:
                register.give_up("minority")
            return
        if register.phase is not Phase.IDLE:
            return
        if self.later > register.chosen_at and self.now - self.later_since >= self._patience():
            self.later_since = self.now
        elif not register.wishes and not (look and value is not None and self._plan(value, True) != value):
            return
        register.begin(self.now)

    def _patience(self) -> int:
        """How long another may take to finish its round: their places keep voters from doing it at once."""
        order = sorted(self.voters)
        place = order.index(self.me) if self.me in order else len(order)
        longest = 0 if self.fresh is None else self.pace.read  # just started: nobody's round is under way
        return longest + place * self.pace.round // 2

    def _plan(self, value: Value, known: bool) -> Value:
        """What should be changed of who votes and who keeps."""
        if value.was and known:
            value = replace(value, was=())
        if self.next_keeper and self.value is not None and self.value.keeper == value.keeper:
            value = replace(value, keeper=self.next_keeper)
        if value.keeper != self.me or value.was or self.stopping:
            return value
        up = {ip: life for ip, life in self._up().items() if ip not in self.leaving}
        lost = {one.ip for one in value.voters if self.hearing.silence(one.ip, self.now) > self.pace.lost}
        lost |= self.leaving
        places = {ip: (self.regions.get(zone, ""), zone) for ip, zone in self.hearing.zones.items()}
        voters = wanted(value, up, lost, places, self.most)
        return value if voters == value.voters else replace(value, voters=voters, was=value.voters)

    def _succession(self, up: Mapping[str, str]) -> None:
        """Should another be the keeper? The one there is says who, or a majority finds it silent."""
        self.next_keeper, value = "", self.value
        if value is None:
            return  # no chosen value, no keeper
        order = [ip for ip in successors(value, set(up) - self.leaving) if ip != value.keeper]
        if value.keeper == self.me:
            if self.stopping and order:
                self.next_keeper = order[0]
            return
        silence = self.hearing.silence(value.keeper, self.now)
        if silence < self.pace.silent or self.me not in order or self.stopping:
            return
        if not self.hearing.agreed_silent(value, self.votes, self.now, self.pace.up):
            return
        if silence >= self.pace.silent + order.index(self.me) * self.pace.round * 2:
            self.next_keeper = self.me

    # Freshness.

    def _read(self) -> None:
        """Asks the voters, or whoever there is while none is known."""
        self.stamp += 1
        self.readings[self.stamp] = Reading(self.now)
        self.readings.pop(self.stamp - MOST_ASKED, None)
        register = self.register
        ask = {"t": "read", "s": self.stamp, "c": register.chosen_at, "l": register.memory.life}
        ips = self.voters | (self.hearing.links if self.value is None else set())
        register.out += [(ip, ask) for ip in sorted(ips) if ip in self.hearing.links]
        if self.stopping:
            self._tell_leave()
        self._weigh(self.stamp)

    def _tell_leave(self) -> None:
        """All that are linked are told, so that none of them names this machine anew."""
        register = self.register
        leave = {"t": "leave", "l": register.memory.life}
        register.out += [(ip, leave) for ip in sorted(self.hearing.links)]

    def _asked(self, ip: str, message: Message) -> None:
        register, theirs = self.register, message["c"]
        answer: Message = {"t": "seen", "s": message["s"], "l": register.memory.life}
        if register.broken:
            answer["l"] = ""
        if register.accepted_at != theirs:
            answer["a"] = register.accepted_at
        if register.chosen_at != theirs:
            answer["c"] = register.chosen_at
        if self.keeper and self.hearing.silence(self.keeper, self.now) >= self.pace.silent:
            answer["q"] = self.keeper
        register.out.append((ip, answer))
        if theirs > register.chosen_at:
            register.ask_news(ip)

    def _seen(self, ip: str, message: Message) -> None:
        register, reading = self.register, self.readings.get(message["s"])
        if "q" in message:
            self.hearing.opinions[ip] = Opinion(message["l"], message["q"], self.now)
        else:
            self.hearing.opinions.pop(ip, None)
        if reading is None:
            return
        self.hearing.answer(ip, reading.sent_at)
        if message.get("c", NONE) > register.chosen_at:
            register.ask_news(ip)
        # What is left out is the same as what was asked about, which this machine knows as chosen.
        taken = message.get("a", NONE)
        reading.taken[Life(ip, message["l"])] = taken
        if taken > max(register.chosen_at, self.later):
            self.later, self.later_since = taken, self.now
        self._weigh(message["s"])

    def _weigh(self, stamp: int) -> None:
        """Have those that decide taken nothing later than what is known as chosen?"""
        register, reading = self.register, self.readings[stamp]
        register.learn(life for life, taken in reading.taken.items() if taken == register.accepted_at)
        value = self.value
        if value is None:
            return
        if register.accepted_at > max(register.chosen_at, self.later):
            self.later, self.later_since = register.accepted_at, self.now
        clean = [life for life, taken in reading.taken.items() if taken <= register.chosen_at]
        if register.accepted_at <= register.chosen_at and not register.broken:
            clean.append(register.life)
        if value.quorum(clean) and (self.fresh is None or reading.sent_at > self.fresh):
            self.fresh = reading.sent_at

    # What is to be done. Each syncs first what it rests on.

    def take_out(self) -> list[tuple[str, Message]]:
        """Messages with the ips they go to."""
        self._flush()
        out, self.register.out = self.register.out, []
        return out

    def take_results(self) -> list[Result]:
        """What became of changes."""
        self._flush()
        results, self.register.results = self.register.results, []
        return results

    def take_changes(self) -> list[Change]:
        """How `body` went on, in order."""
        self._flush()
        changes, self.register.changes = self.register.changes, []
        return changes

    def _flush(self) -> None:
        """Syncs; where that ends a round of its own, what waits goes on."""
        self.register.flush()
        while self.register.wishes and self.register.phase is Phase.IDLE and not self.minority:
            self._start()
            self.register.flush()
