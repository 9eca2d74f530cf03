"""Plans of voters for the search, and registers with a bug put in on purpose."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from pepperrun.consensus.messages import Message
from pepperrun.consensus.register import Register
from pepperrun.consensus.values import Body, Held, Life, Op, Value
from pepperrun.consensus.voter import Steps

Plan = Callable[[tuple[Life, ...], Value, bool], Value]


def mark(body: Body, op: Op) -> tuple[Body | None, Any]:
    """Changes that can be told from all others, and are made once."""
    marks = body.get("m", [])
    return (None, 200) if op["m"] in marks else ({"m": [*marks, op["m"]]}, 200)


def finish(value: Value, known: bool) -> Value:
    """Voters before that are on their way out leave when that is known as chosen."""
    return replace(value, was=()) if value.was and known else value


def change(goal: tuple[Life, ...], value: Value, known: bool) -> Value:
    """These should vote."""
    value = finish(value, known)
    if value.was or set(value.voters) == set(goal):
        return value
    return replace(value, voters=goal, was=value.voters)


def change_hasty(goal: tuple[Life, ...], value: Value, known: bool) -> Value:
    """A bug put in on purpose: those that come decide on their coming, without those before."""
    return value if set(value.voters) == set(goal) else replace(value, voters=goal)


def finish_early(value: Value, known: bool) -> Value:
    """A bug put in on purpose: those before leave though nobody knows whether that was chosen."""
    return finish(value, True)


def change_early(goal: tuple[Life, ...], value: Value, known: bool) -> Value:
    """The same bug."""
    return change(goal, value, True)


class OneStep(Register):
    """A bug put in on purpose: a majority of those before and one of those that come, without `was`."""

    before: Value | None = None

    def _judge(self, base: Held, known: bool) -> None:
        self.before = base.value
        super()._judge(base, known)

    def _counted(self) -> None:
        if self.before is not None and self.before.quorum(self.round.taken):
            super()._counted()


class OlderChosen(Register):
    """A bug put in on purpose: answers that come late bring back what an older ballot chose."""

    def _choose(self, held: Held, steps: Steps | None) -> None:
        if held.ballot <= self.chosen_at:
            self.memory.chosen = held
        super()._choose(held, steps)


class Bodiless(Register):
    """A bug put in on purpose: who lacks the body of a value takes it all the same."""

    def _build(self, message: Message) -> Body | None:
        body = super()._build(message)
        return {} if body is None else body


def change_but(plan: Plan, void: frozenset[Life], goal: tuple[Life, ...], value: Value, known: bool) -> Value:
    """A change to the goal, unless that names anew who was told to stop, or a life that is lost."""
    if any(life in void and life not in value.voters for life in goal):
        return finish(value, known)
    return plan(goal, value, known)


def hand_over(successor: str, value: Value, known: bool) -> Value:
    """The keeper, which is to stop, names another."""
    return replace(finish(value, known), keeper=successor)


CHANGES: dict[str, Plan] = {"hasty": change_hasty, "one-step": change_hasty, "early": change_early}
REGISTERS: dict[str, type[Register]] = {
    "one-step": OneStep,
    "bodiless": Bodiless,
    "older-chosen": OlderChosen,
}
# Of the others the world sees to: `empty-votes`, `late-sync`; who is told to stop ends as soon as it is not
# among those that come (`leaves-early`), at once (`leaves-named`), or by an old value (`leaves-stale`); a
# plan names lives that are lost (`stale-lives`).
BUGS = (
    *("", "hasty", "one-step", "early", "empty-votes", "late-sync"),
    *("bodiless", "leaves-early", "leaves-named", "leaves-stale", "stale-lives", "older-chosen"),
)
