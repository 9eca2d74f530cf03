"""Plans of voters for the search, and registers with a bug put in on purpose."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from pepperrun.consensus.messages import Accept, BodyDelta, Chosen
from pepperrun.consensus.register import Register
from pepperrun.consensus.state import Body, Evaluation, Incarnation, Operation, Proposal, Value

Plan = Callable[[tuple[Incarnation, ...], Value, bool], Value]


def mark(body: Body, operation: Operation) -> Evaluation:
    """Evaluate changes that can be told from all others, and are made once."""
    marks = body.get("m", [])
    if operation["m"] in marks:
        return Evaluation(None, 200)
    return Evaluation({"m": [*marks, operation["m"]]}, 200)


def finish(value: Value, known: bool) -> Value:
    """Voters before that are on their way out leave when that is known as chosen."""
    return replace(value, outgoing_voters=()) if value.outgoing_voters and known else value


def change(goal: tuple[Incarnation, ...], value: Value, known: bool) -> Value:
    """These should vote."""
    value = finish(value, known)
    if value.outgoing_voters or set(value.voters) == set(goal):
        return value
    return replace(value, voters=goal, outgoing_voters=value.voters)


def change_hasty(goal: tuple[Incarnation, ...], value: Value, known: bool) -> Value:
    """A bug put in on purpose: those that come decide on their coming, without those before."""
    return value if set(value.voters) == set(goal) else replace(value, voters=goal)


def finish_early(value: Value, known: bool) -> Value:
    """A bug put in on purpose: those before leave though nobody knows whether that was chosen."""
    return finish(value, True)


def change_early(goal: tuple[Incarnation, ...], value: Value, known: bool) -> Value:
    """The same bug."""
    return change(goal, value, True)


class OneStep(Register):
    """A bug put in on purpose: majorities of the voters before and after, without `outgoing_voters`."""

    before: Value | None = None

    def _evaluate(self, base: Proposal, is_chosen: bool) -> None:
        self.before = base.value
        super()._evaluate(base, is_chosen)

    def _choose_if_quorum_accepted(self) -> None:
        if self.before is not None and self.before.has_quorum(self.round.accepted_by):
            super()._choose_if_quorum_accepted()


class OlderChosen(Register):
    """A bug put in on purpose: answers that come late bring back what an older ballot chose."""

    def _learn_chosen(self, proposal: Proposal, delta: BodyDelta | None) -> None:
        if proposal.ballot <= self.chosen_ballot:
            self.state.chosen = proposal
        super()._learn_chosen(proposal, delta)


class Bodiless(Register):
    """A bug put in on purpose: who lacks the body of a value takes it all the same."""

    def _resolve_body(self, message: Accept | Chosen) -> Body | None:
        body = super()._resolve_body(message)
        return {} if body is None else body


def change_but(
    plan: Plan, void: frozenset[Incarnation], goal: tuple[Incarnation, ...], value: Value, known: bool
) -> Value:
    """A change to the goal, unless that names anew who was told to stop, or a life that is lost."""
    if any(life in void and life not in value.voters for life in goal):
        return finish(value, known)
    return plan(goal, value, known)


def hand_over(successor: str, value: Value, known: bool) -> Value:
    """The keeper, which is to stop, names another."""
    return replace(finish(value, known), coordinator=successor)


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
