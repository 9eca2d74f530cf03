"""Bugs of the control side put in on purpose, to see that the judge of cut-off machines finds them."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from pepperrun.consensus.register import Register
from pepperrun.control.changes import Verdict, apply
from pepperrun.control.hub import Hub
from pepperrun.control.validation import Op

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


def put_in(bug: str, hub: Hub) -> None:
    """Makes one control node behave so."""
    if bug == READ_FROM_MEMORY:
        hub.fresh = lambda: _done(hub, None)  # type: ignore[method-assign]
    elif bug == LOCAL_REFUSAL:
        _judge_locally(hub, (400, 412))
    elif bug == LOCAL_CONFIRMATION:
        _judge_locally(hub, (200,))
    elif bug == MINORITY_REFUSES:
        hub.minority = lambda: False  # type: ignore[method-assign]
        _judge_locally(hub, (400, 412))
    elif bug == EARLY_QUESTION:
        _believe_early_answers(hub)
    elif bug == EARLY_ROUND:
        judge_late_orders(hub.replica.register)
    elif bug == HEARD_IS_REACHED:
        hub.replica.liveness.reachable = hub.replica.liveness.alive  # type: ignore[method-assign]


def _done(hub: Hub, result: T) -> asyncio.Future[T]:
    future: asyncio.Future[T] = hub.loop.create_future()
    future.set_result(result)
    return future


def _judge_locally(hub: Hub, statuses: tuple[int, ...]) -> None:
    by_round = hub.order

    def order(op: Op, patience: int) -> asyncio.Future[Verdict | None]:
        changed, verdict = apply(hub.replica.body, op)
        if changed is None and verdict[0] in statuses:
            return _done(hub, verdict)
        return by_round(op, patience)

    hub.order = order  # type: ignore[method-assign]


def _believe_early_answers(hub: Hub) -> None:
    release, last = hub.release, [hub.replica.confirmed_at]

    def release_all(fresh_at: int | None) -> None:
        moved, last[0] = fresh_at != last[0], fresh_at
        release(hub.now() if moved else fresh_at)

    hub.release = release_all  # type: ignore[method-assign]


def judge_late_orders(register: Register) -> None:
    """Orders that came after a round began are settled by it, whatever its promises are of."""
    begin = register.start_round

    def begin_late(now: int) -> None:
        begin(now)
        register.round.last_token = 1 << 62

    register.start_round = begin_late  # type: ignore[method-assign]
