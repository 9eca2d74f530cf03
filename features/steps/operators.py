"""Operators' calls: the real matchers, checks and agreement of three core machines in virtual time."""

import asyncio
import json

import playing
from behave import given, then, when
from playing import CORES

from pepperrun.control.endpoint_registry import EndpointRegistry
from pepperrun.control.handlers import ControlApi
from pepperrun.control.matchers import Call, dispatch
from pepperrun.foundation.settings import Settings, parse
from pepperrun.operator import problems


class Machine:
    """`NodeInterface` for the control calls of one machine."""

    def __init__(self, cluster, ip):
        self.cluster, self.ip, self.is_stopping = cluster, ip, False
        me = {"station": "s", "role": "control_node", "ip": ip, "zone": "a", "region": "r1"}
        network = {"sidings": [7600, 7615], "first_contacts": [], "zones": playing.ZONES}
        self.settings: Settings = parse({"self": me, "network": network})
        self.registry = EndpointRegistry(ip, 1500, cluster.now)
        self.tree = ControlApi(self).control_tree()
        self.waiting = []

    def now(self):
        return self.cluster.now

    @property
    def lacks_quorum(self):
        return self.cluster.replicas[self.ip].lacks_quorum

    def order(self, op, patience):
        future = asyncio.get_running_loop().create_future()
        self.waiting.append((future, self.cluster.propose(self.ip, op)))
        return future

    def confirmed(self):
        future = asyncio.get_running_loop().create_future()
        future.set_result(None)
        return future

    @property
    def state(self):
        return self.cluster.replicas[self.ip].body

    def settle(self):
        for future, token in self.waiting:
            if token in self.cluster.verdicts and not future.done():
                future.set_result(self.cluster.verdicts[token])


def played(context, *calls):
    """The answers to calls that are made at once: (machine, method, path, body, Based-On)."""

    async def one(at, method, path, body, on):
        call = Call(method, path.split("/")[1:], headers={"based-on": str(on)}, body=body)
        found = dispatch(context.machines[at].tree, call)
        return await found if asyncio.iscoroutine(found) else found

    async def all_of_them():
        tasks = [asyncio.ensure_future(one(*call)) for call in calls]
        for _ in range(400):
            for _ in range(4):  # those that can go on do
                await asyncio.sleep(0)
            if all(task.done() for task in tasks):
                break
            context.cluster.run(10)
            for machine in context.machines:
                machine.settle()
        context.cluster.run(1000)  # all learn of it
        return [task.result() for task in tasks]

    return asyncio.run(all_of_them())


def put(context, at, data, on):
    context.body = data if isinstance(data, bytes) else playing.body(data)
    return (at, "POST", "/timetable/replace", context.body, on)


@given("three core machines that hold edition 5")
def machines(context):
    context.cluster = playing.ConsensusCluster()
    context.machines = [Machine(context.cluster, ip) for ip in CORES]
    answer = played(context, put(context, 0, playing.configuration(5), 0))[0]
    assert answer.status == 200, answer


@when(
    "one puts edition {one:d} at the first machine and another puts edition {two:d} at the second,"
    " both on top of 5"
)
def race(context, one, two):
    context.calls = [
        put(context, at, playing.configuration(edition), 5) for at, edition in enumerate((one, two))
    ]
    context.editions = [one, two]
    context.answers = played(context, *context.calls)


@then("one gets 200 and the other 412")
def one_wins(context):
    assert sorted(answer.status for answer in context.answers) == [200, 412], context.answers
    context.winner = [answer.status for answer in context.answers].index(200)


def read(context):
    answers = played(context, *((at, "GET", "/timetable/read", b"", 0) for at in range(3)))
    assert [answer.status for answer in answers] == [200, 200, 200]
    return [json.loads(answer.body) for answer in answers]


@then("each machine reads the edition of the one who got 200")
def reads_winner(context):
    assert {held["edition"] for held in read(context)} == {context.editions[context.winner]}


@then("each machine reads edition {edition:d}")
def reads(context, edition):
    held = read(context)
    assert {one["edition"] for one in held} == {edition} and held[0] == held[1] == held[2]


def repeated(context, number, at):
    return played(context, (at, *context.calls[number][1:]))[0].status


@then("the one who got 200 gets 200 again for the same call, at each machine")
def again(context):
    assert [repeated(context, context.winner, at) for at in range(3)] == [200, 200, 200]


@then("the other gets 412 again")
def refused_again(context):
    assert [repeated(context, 1 - context.winner, at) for at in range(3)] == [412, 412, 412]


@when("editions 6, 7 and 9 are put, each on top of the one before")
def in_turn(context):
    context.calls = []
    for on, edition in ((5, 6), (6, 7), (7, 9)):
        context.calls.append(put(context, edition % 3, playing.configuration(edition), on))
        assert played(context, context.calls[-1])[0].status == 200


@when("the call of edition 6 is repeated at the third machine")
def late_repeat(context):
    context.answer = played(context, (2, *context.calls[0][1:]))[0]


@then("the answer is {status:d}")
def status_is(context, status):
    assert context.answer.status == status, context.answer


def _cell(data, kind, row, column, value):
    table = data[kind]
    if column not in table["columns"]:
        table["columns"].append(column)
        for one in table["rows"]:
            one.append(None)
    table["rows"][row][table["columns"].index(column)] = value


WRONG = {
    "a route names an unknown service": ("routes", 0, "line", "wasp"),
    "a route's shares add up to 0": ("routes", 1, "splits", [{"line": "ant", "share": 0}]),
    "a deadline is 0": ("routes", 0, "deadline_ms", 0),
    "a deadline is over ten minutes": ("routes", 0, "deadline_ms", 600_001),
    "a prefix begins with no slash": ("routes", 0, "prefix", "one/"),
    "a depot is empty": ("routes", 0, "depot", ""),
    "two tenants share a key": ("senders", 1, "stamps", ["k3", "k2"]),
    "a route is there twice": ("routes", 1, "name", "r-one"),
}


def wrong(what, edition):
    """A configuration of which this is true."""
    data = playing.configuration(edition)
    if what in WRONG:
        _cell(data, *WRONG[what])
    elif what == "a row is too short":
        data["routes"]["rows"][0].pop()
    else:
        return playing.body(data)[:-40]
    return playing.body(data)


@when("edition 7 is put on top of 5, and {what}")
def put_wrong(context, what):
    context.answer = played(context, put(context, 1, wrong(what, 7), 5))[0]


@when("edition 5 with other limits is put on top of 5")
def put_old(context):
    data = playing.configuration(5, limits={"dwell_ms": 1})
    context.answer = played(context, put(context, 1, data, 5))[0]


@when("service ant is withdrawn on top of 5")
def withdraw(context):
    body = playing.body({"edition": 7, "withdraw": {"carrier_lines": ["ant"]}})
    context.answer = played(context, (1, "POST", "/timetable/amend", body, 5))[0]


@then("the answer is {status:d} with one sentence that names {item}")
def sentence(context, status, item):
    assert context.answer.status == status, context.answer
    told = json.loads(context.answer.body)
    assert told["code"] and item in told["detail"], told
    assert told["detail"].endswith(".") and told["detail"][0].isupper() or item == "body", told
    assert "\n" not in told["detail"]
    context.detail = told["detail"]


@then("the check of the file tells the same sentence")
def same_sentence(context):
    assert context.detail in problems.configuration_problems(context.body), problems.configuration_problems(
        context.body
    )


@when("a file has three problems in three items")
def three_problems(context):
    data = playing.configuration(7)
    _cell(data, *WRONG["a deadline is 0"])
    _cell(data, "routes", 1, "splits", [{"line": "wasp", "share": 1}])
    _cell(data, *WRONG["two tenants share a key"])
    context.found = problems.configuration_problems(playing.body(data))


@then("the check tells three sentences, one for each item")
def three_sentences(context):
    assert len(context.found) == 3, context.found
    for name, told in zip(("r-one", "r-two", "ann"), context.found, strict=True):
        assert name in told and told.endswith(".")
