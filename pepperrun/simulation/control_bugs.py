"""Bugs of the control side put in on purpose, to see that the judge of cut-off machines finds them."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from pepperrun.consensus.register import Register
from pepperrun.consensus.state import Operation
from pepperrun.control.changes import apply
from pepperrun.control.node import ControlNode
from pepperrun.control.verdict import Verdict

READ_FROM_MEMORY = "read-from-memory"  # a read is answered from what is held, as if it were the newest
LOCAL_REFUSAL = "local-refusal"  # an order is refused on what is held here, without a round
LOCAL_CONFIRMATION = "local-confirmation"  # one that is held here as done is confirmed, without a round
MINORITY_REFUSES = "minority-refuses"  # the same as local-refusal, by a machine that knows that it is cut off
EARLY_QUESTION = "early-question"  # answers to a question sent before the call prove that a read is fresh
EARLY_ROUND = "early-round"  # an order is judged on promises older than its call
HEARD_IS_REACHED = "heard-is-reached"  # who is heard counts as reached, though nothing gets there
T = TypeVar("T")
BUGS = (
    READ_FROM_MEMORY,
    LOCAL_REFUSAL,
    LOCAL_CONFIRMATION,
    MINORITY_REFUSES,
    EARLY_QUESTION,
    EARLY_ROUND,
    HEARD_IS_REACHED,
)


class NeverLacksQuorum(ControlNode):
    """A node that does not know that it is partitioned."""

    @property
    def lacks_quorum(self) -> bool:
        """Always False."""
        return False


def put_in(bug: str, node: ControlNode) -> None:
    """Makes one control node behave so."""
    if bug == READ_FROM_MEMORY:
        node.confirmed = lambda: _done(node, None)  # type: ignore[method-assign]
    elif bug == LOCAL_REFUSAL:
        _judge_locally(node, (400, 412))
    elif bug == LOCAL_CONFIRMATION:
        _judge_locally(node, (200,))
    elif bug == MINORITY_REFUSES:
        node.__class__ = NeverLacksQuorum
        _judge_locally(node, (400, 412))
    elif bug == EARLY_QUESTION:
        _believe_early_answers(node)
    elif bug == EARLY_ROUND:
        judge_late_orders(node.replica.register)
    elif bug == HEARD_IS_REACHED:
        node.replica.liveness.reachable = node.replica.liveness.alive  # type: ignore[method-assign]


def _done(node: ControlNode, result: T) -> asyncio.Future[T]:
    future: asyncio.Future[T] = node.loop.create_future()
    future.set_result(result)
    return future


def _judge_locally(node: ControlNode, statuses: tuple[int, ...]) -> None:
    by_round = node.order

    def order(op: Operation, timeout_ns: int) -> asyncio.Future[Verdict | None]:
        changed, verdict = apply(node.replica.body, op)
        if changed is None and verdict[0] in statuses:
            return _done(node, verdict)
        return by_round(op, timeout_ns)

    node.order = order  # type: ignore[method-assign]


def _believe_early_answers(node: ControlNode) -> None:
    complete = node.pending_calls.complete_reads
    last = [node.replica.confirmed_at]

    def complete_all(confirmed_at: int | None) -> None:
        moved = confirmed_at != last[0]
        last[0] = confirmed_at
        complete(node.now() if moved else confirmed_at)

    node.pending_calls.complete_reads = complete_all  # type: ignore[method-assign]


def judge_late_orders(register: Register) -> None:
    """Orders that came after a round began are settled by it, whatever its promises are of."""
    begin = register.start_round

    def begin_late(now: int) -> None:
        begin(now)
        register.round.last_token = 1 << 62

    register.start_round = begin_late  # type: ignore[method-assign]
