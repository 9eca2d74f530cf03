"""The consensus of one control node: register, quorum reads and voter maintenance. No I/O.

The caller passes in messages, link events and the time, and takes out messages, results and changes, after
the state that they depend on is synced. There is no leader: each node proposes the changes that it received
from operators (`register`). Each node checks at intervals whether its value is the newest (`quorum_reads`).
One node, the coordinator, changes the voters (`voter_maintenance`).
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from pepperrun.consensus import codec
from pepperrun.consensus.codec import WireMessage
from pepperrun.consensus.learner import BodyChange, OutgoingMessage
from pepperrun.consensus.messages import (
    Accepted,
    Message,
    Promise,
    QuorumRead,
    QuorumReadReply,
    StoppingNotice,
)
from pepperrun.consensus.peer_liveness import PeerLiveness, Suspicion
from pepperrun.consensus.quorum_reads import QuorumReadRound, QuorumReads
from pepperrun.consensus.register import ChangeResult, FailureReason, Phase, Register
from pepperrun.consensus.state import (
    NO_BALLOT,
    Apply,
    Ballot,
    Body,
    DurableState,
    Incarnation,
    Operation,
    StateStore,
    Value,
)
from pepperrun.consensus.timeouts import Timeouts
from pepperrun.consensus.voter_maintenance import VoterMaintenance

_MESSAGES_WITH_DISK_ID = (Promise, Accepted, QuorumRead, QuorumReadReply, StoppingNotice)


def _disk_id_of(message: Message) -> str | None:
    """Return the disk id of the sender, None if the message does not carry one."""
    return message.disk_id if isinstance(message, _MESSAGES_WITH_DISK_ID) else None


class Replica:
    """One control node. After each call, take out the messages, results and changes.

    Parameters
    ----------
    own_ip : str
        Ip of this node, which identifies it among the control nodes.
    state : DurableState
        The state loaded from the disk (`storage.store.DiskStore.load_or_create`).
    store : StateStore
        Saves the state before messages are returned.
    regions : mapping of str to str
        Region of each zone.
    max_voters : int
        Largest number of voters; odd.
    """

    def __init__(
        self,
        own_ip: str,
        state: DurableState,
        store: StateStore,
        apply: Apply,
        *,
        zone: str,
        regions: Mapping[str, str],
        max_voters: int,
        seed: int,
        now: int,
        timeouts: Timeouts | None = None,
    ) -> None:
        self.own_ip = own_ip
        self.timeouts = timeouts or Timeouts()
        self.liveness = PeerLiveness(own_ip, state.disk_id, zone, now)
        self.reads = QuorumReads()
        self.voter_maintenance = VoterMaintenance(
            own_ip, self.liveness, self.timeouts, regions, max_voters, now
        )
        self.register = Register(own_ip, state, store, apply, seed=seed, now=now, timeouts=self.timeouts)
        self.register.plan_voters = self._plan_voters
        self.now = now
        self.next_read_at = now
        self.last_tick_at = now
        # The highest ballot that some node accepted and that is not known as chosen, and when it was noticed.
        self.unconfirmed_ballot = NO_BALLOT
        self.unconfirmed_since = now

    # State.

    @property
    def version(self) -> int:
        """Version of the newest body known as chosen; -1 while none is known."""
        chosen = self.register.state.chosen
        return chosen.value.version if chosen else -1

    @property
    def body(self) -> Body:
        """The newest body known as chosen (not to be changed); empty while none is known."""
        chosen = self.register.state.chosen
        return chosen.body if chosen else {}

    @property
    def value(self) -> Value | None:
        """The newest value known as chosen."""
        chosen = self.register.state.chosen
        return chosen.value if chosen else None

    @property
    def confirmed_at(self) -> int | None:
        """Monotonic ns at which `body` was confirmed as the newest; None before this process confirmed it."""
        return self.reads.confirmed_at

    @property
    def voter_ips(self) -> set[str]:
        """Ips of the machines that vote; this node should keep links to them."""
        return self._known_value.voter_ips if self._known_value else set()

    @property
    def voter_groups(self) -> tuple[frozenset[str], ...]:
        """Ips of the machines that vote, by group; empty while unknown."""
        value = self._known_value
        groups = value.voter_groups if value is not None else ()
        return tuple(frozenset(voter.ip for voter in group) for group in groups)

    @property
    def is_voter(self) -> bool:
        """Whether this incarnation is a voter of the chosen value."""
        return self.value is not None and self.register.incarnation in self.value.voters

    @property
    def coordinator(self) -> str:
        """Ip of the node that changes the voters; empty while unknown."""
        return self.value.coordinator if self.value else ""

    @property
    def lacks_quorum(self) -> bool:
        """Whether fewer voters than a quorum are reachable; changes then fail at once."""
        return not self._has_reachable_quorum()

    @property
    def stopping_peers(self) -> set[str]:
        """Ips of nodes that are shutting down and have not restarted since."""
        return set(self.voter_maintenance.stopping_peers)

    @property
    def stop_requested_at(self) -> int:
        """When this process was asked to stop; before that, when it started."""
        return self.voter_maintenance.stop_requested_at

    @property
    def safe_to_stop(self) -> bool:
        """Whether this node, asked to stop, may exit without a vote or role that another node could take."""
        value = self.value
        if value is None:
            return True
        return self.voter_maintenance.safe_to_stop(
            value,
            change_in_flight=self.register.accepted_ballot > self.register.chosen_ballot,
            confirmed_at=self.confirmed_at,
            now=self.now,
        )

    @property
    def _known_value(self) -> Value | None:
        """The chosen value, else the accepted one: the best local knowledge of who votes."""
        accepted = self.register.state.accepted
        return self.value or (accepted.value if accepted else None)

    def _has_reachable_quorum(self) -> bool:
        value = self._known_value
        if value is None:
            return False
        reachable = self.liveness.reachable(self.now, self.timeouts.liveness_ns)
        # A linked node that has not reported its disk id yet may be the incarnation that votes.
        return value.has_quorum(
            voter
            for group in value.voter_groups
            for voter in group
            if voter.ip in reachable and reachable[voter.ip] in ("", voter.disk_id)
        )

    # Events.

    def _set_time(self, now: int) -> None:
        """Set the time. After a suspension of this process, restart the time-outs of all peers."""
        if now - max(self.last_tick_at, self.next_read_at) > 2 * self.timeouts.read_interval_ns:
            self.liveness.resumed(now)
            self.last_tick_at = now
        self.now = now

    def connected(self, ip: str, zone: str, now: int) -> None:
        """Handle a new link to another control node, after its hello message."""
        if ip == self.own_ip:
            return
        self._set_time(now)
        self.liveness.connected(ip, zone, now)
        self.voter_maintenance.record_peer_restart(ip)
        self.register.observers = set(self.liveness.links)
        if self.value is None or ip in self.value.voter_ips:
            self._schedule_read_soon()

    def disconnected(self, ip: str, now: int) -> None:
        """Handle the loss of the last link to a node."""
        self._set_time(now)
        self.liveness.disconnected(ip)
        self.register.observers = set(self.liveness.links)

    def receive(self, ip: str, data: Any, now: int) -> None:
        """Handle a wire message of another control node.

        Kinds of a later version are ignored, so that nodes of both versions can agree during an upgrade.

        Raises
        ------
        RemoteProtocolError
            The message is invalid and was not handled.
        """
        if not codec.is_known(data):
            return
        message = codec.decode(data)
        if ip == self.own_ip:
            return
        self._set_time(now)
        self.liveness.record_message(ip, _disk_id_of(message), now)
        review_voters = self._dispatch(ip, message, now)
        self._start_round_if_needed(review_voters=review_voters)

    def _dispatch(self, ip: str, message: Message, now: int) -> bool:
        """Handle a message; return whether it calls for a review of the voters."""
        match message:
            case QuorumRead():
                self.voter_maintenance.record_peer_read(ip, now)
                self._on_quorum_read(ip, message)
                return False
            case QuorumReadReply():
                self._on_quorum_read_reply(ip, message)
                return False
            case StoppingNotice():
                is_new = ip not in self.voter_maintenance.stopping_peers
                self.voter_maintenance.record_peer_stopping(ip, now)
                return is_new
            case _:
                return self._on_register_message(ip, message, now)

    def _on_register_message(self, ip: str, message: Message, now: int) -> bool:
        chosen_ballot = self.register.chosen_ballot
        self.register.receive(ip, message, now)
        is_new = self.register.chosen_ballot != chosen_ballot
        if is_new and self.confirmed_at is None:
            self._schedule_read_soon()  # to confirm whether the first known value is the newest
        return is_new

    def propose(self, operation: Operation, now: int, timeout_ns: int | None = None) -> int:
        """Propose an operator's change; return the token under which its result is reported."""
        self._set_time(now)
        timeout_ns = self.timeouts.change_ns if timeout_ns is None else timeout_ns
        token = self.register.submit(operation, now + timeout_ns)
        self._start_round_if_needed()
        return token

    def request_stop(self, now: int) -> None:
        """Start a graceful shutdown: the vote and the coordinator role of this node move to others.

        The node otherwise works as before. It should exit when it is `safe_to_stop`, or when the caller's
        time-out is over.
        """
        self._set_time(now)
        self.voter_maintenance.request_stop(now)
        self._announce_stop()
        self._review_coordinator()
        self._start_round_if_needed(review_voters=True)

    def next_tick_at(self) -> int:
        """When `tick` must be called at the latest (monotonic ns)."""
        register_tick_at = self.register.next_tick_at()
        return self.next_read_at if register_tick_at is None else min(register_tick_at, self.next_read_at)

    def tick(self, now: int) -> None:
        """Handle time-outs, and at each read interval start a quorum read and a voter review."""
        self._set_time(now)
        self.last_tick_at = now
        self.register.tick(now)
        reads = now >= self.next_read_at
        if reads:
            self.next_read_at = now + self.timeouts.read_interval_ns
            self._start_quorum_read()
            self._review_coordinator()
            overdue = now - self.register.chosen_learned_at >= self.timeouts.deferred_sync_ns
            self.register.flush(include_deferred=self.register.disk_failed or overdue)
        self._start_round_if_needed(review_voters=reads)

    # Rounds.

    def _start_round_if_needed(self, *, review_voters: bool = False) -> None:
        """Start a round if one is needed; fail pending changes if no quorum is reachable."""
        register = self.register
        review_voters = self._may_change_voters(review_voters)
        unconfirmed = self.unconfirmed_ballot > register.chosen_ballot
        if not (register.pending or review_voters or unconfirmed):
            return
        if not self._has_reachable_quorum():
            if register.pending:
                register.fail_pending(FailureReason.NO_QUORUM)
            return
        if register.phase is not Phase.IDLE:
            return
        if unconfirmed and self.now - self.unconfirmed_since >= self._completion_delay_ns():
            self.unconfirmed_since = self.now
        elif not register.pending and not (review_voters and self._voters_need_change()):
            return
        register.start_round(self.now)

    def _may_change_voters(self, review_voters: bool) -> bool:
        """Whether a review is due, and this node is the coordinator or is to propose the next one."""
        value = self.value
        if value is None:
            return False
        self.voter_maintenance.clear_completed_succession(value)
        coordinates = bool(self.voter_maintenance.next_coordinator) or self.own_ip == value.coordinator
        return review_voters and coordinates

    def _voters_need_change(self) -> bool:
        value = self.value
        return value is not None and self._plan_voters(value, True) != value

    def _completion_delay_ns(self) -> int:
        """How long to wait for another node to finish its round before finishing it here.

        The delay grows with the rank of this node, so that the voters do not all propose at once.
        """
        order = sorted(self.voter_ips)
        rank = order.index(self.own_ip) if self.own_ip in order else len(order)
        # Before its first confirmed read this node has just started: no round is assumed to be in progress.
        round_ns = 0 if self.confirmed_at is None else self.timeouts.read_interval_ns
        return round_ns + rank * self.timeouts.phase_ns // 2

    def _plan_voters(self, value: Value, is_chosen: bool) -> Value:
        return self.voter_maintenance.plan(value, is_chosen=is_chosen, known=self.value, now=self.now)

    def _review_coordinator(self) -> None:
        if self.value is None:
            self.voter_maintenance.next_coordinator = ""
        else:
            self.voter_maintenance.review_coordinator(self.value, is_voter=self.is_voter, now=self.now)

    def _announce_stop(self) -> None:
        """Notify all linked nodes, so that none of them selects this node as a voter again."""
        notice = StoppingNotice(self.register.state.disk_id)
        self.register.outbox += [OutgoingMessage(ip, notice) for ip in sorted(self.liveness.links)]

    # Quorum reads.

    def _schedule_read_soon(self) -> None:
        self.next_read_at = min(self.next_read_at, self.now + self.timeouts.read_interval_ns // 8)

    def _start_quorum_read(self) -> None:
        """Ask the linked voters, or all linked nodes while no value is known."""
        register = self.register
        read_id = self.reads.start(self.now)
        message = QuorumRead(read_id, register.chosen_ballot, register.state.disk_id)
        ips = self.voter_ips | (self.liveness.links if self.value is None else set())
        register.outbox += [OutgoingMessage(ip, message) for ip in sorted(ips) if ip in self.liveness.links]
        if self.voter_maintenance.stopping:
            self._announce_stop()
        read = self.reads.get(read_id)
        if read is not None:
            self._evaluate_read(read)

    def _on_quorum_read(self, ip: str, message: QuorumRead) -> None:
        register = self.register
        coordinator = self.coordinator
        suspected = bool(coordinator) and self.voter_maintenance.has_timed_out(coordinator, self.now)
        reply = QuorumReadReply(
            read_id=message.read_id,
            disk_id="" if register.disk_failed else register.state.disk_id,
            accepted_ballot=_unless_equal(register.accepted_ballot, message.chosen_ballot),
            chosen_ballot=_unless_equal(register.chosen_ballot, message.chosen_ballot),
            suspected_coordinator=coordinator if suspected else None,
        )
        register.outbox.append(OutgoingMessage(ip, reply))
        if message.chosen_ballot > register.chosen_ballot:
            register.request_catch_up(ip)

    def _on_quorum_read_reply(self, ip: str, message: QuorumReadReply) -> None:
        register = self.register
        self._record_suspicion(ip, message)
        read = self.reads.get(message.read_id)
        if read is None:
            return
        self.liveness.record_answer(ip, read.sent_at)
        if message.chosen_ballot is not None and message.chosen_ballot > register.chosen_ballot:
            register.request_catch_up(ip)
        # A missing ballot equals the one in the request, which this node knows as chosen.
        accepted_ballot = NO_BALLOT if message.accepted_ballot is None else message.accepted_ballot
        read.accepted[Incarnation(ip, message.disk_id)] = accepted_ballot
        self._record_unconfirmed(accepted_ballot)
        self._evaluate_read(read)

    def _record_suspicion(self, ip: str, message: QuorumReadReply) -> None:
        if message.suspected_coordinator is None:
            self.liveness.suspicions.pop(ip, None)
        else:
            suspicion = Suspicion(message.disk_id, message.suspected_coordinator, self.now)
            self.liveness.suspicions[ip] = suspicion

    def _record_unconfirmed(self, accepted_ballot: Ballot) -> None:
        if accepted_ballot > max(self.register.chosen_ballot, self.unconfirmed_ballot):
            self.unconfirmed_ballot = accepted_ballot
            self.unconfirmed_since = self.now

    def _evaluate_read(self, read: QuorumReadRound) -> None:
        """Learn from the replies so far which value is chosen, and whether the known one is the newest."""
        register = self.register
        register.learn_accepted_by(read.accepted_exactly(register.accepted_ballot))
        if self.value is None:
            return
        self._record_unconfirmed(register.accepted_ballot)
        unchanged_at = read.accepted_at_most(register.chosen_ballot)
        if register.accepted_ballot <= register.chosen_ballot and not register.disk_failed:
            unchanged_at.append(register.incarnation)
        self.reads.confirm(read, self.value, unchanged_at)

    # Output. Each call first syncs the state that its result depends on.

    def take_messages(self) -> list[tuple[str, WireMessage]]:
        """Return and remove the outgoing wire messages, each with its destination ip."""
        self._flush()
        outbox = self.register.outbox
        if not outbox:
            return []
        self.register.outbox = []
        # A message to several nodes is encoded once, and all of them share the same object.
        encoded: dict[int, WireMessage] = {}
        for outgoing in outbox:
            if id(outgoing.message) not in encoded:
                encoded[id(outgoing.message)] = codec.encode(outgoing.message)
        return [(outgoing.ip, encoded[id(outgoing.message)]) for outgoing in outbox]

    def take_results(self) -> list[ChangeResult]:
        """Return and remove the results of changes."""
        self._flush()
        results = self.register.results
        self.register.results = []
        return results

    def take_changes(self) -> list[BodyChange]:
        """Return and remove the changes of `body`, in order."""
        self._flush()
        changes = self.register.changes
        self.register.changes = []
        return changes

    def _flush(self) -> None:
        """Sync; if that completes a round of this node, start the next one for pending changes."""
        register = self.register
        register.flush()
        while register.pending and register.phase is Phase.IDLE and not self.lacks_quorum:
            self._start_round_if_needed()
            register.flush()


def _unless_equal(ballot: Ballot, asked: Ballot) -> Ballot | None:
    """Return a ballot for a reply, None if it equals the ballot of the request."""
    return None if ballot == asked else ballot
