"""Failures that occur only after minutes, weeks or years of running."""

from __future__ import annotations

import pytest
from helpers import MS, RATE, SECOND, START, Driver, make_settings, only
from standins import line, listing

from pepperrun.core import gossip
from pepperrun.core.gateway import Gateway
from pepperrun.core.interface import (
    AttemptEnded,
    Backend,
    BackendList,
    Event,
    ListKind,
    Outcome,
    PeerMessage,
    Request,
    Send,
    SendPeerMessage,
    TimerFired,
)
from pepperrun.core.quotas import Account, Quotas
from pepperrun.net.directory import Directory


def test_a_customer_removed_and_added_again_gives_its_peers_no_units():
    # A gatekeeper removes an idle customer's account. When it adds the customer again, its total must not
    # start from 0: a peer took the difference for returned units, and its bucket held five times the burst.
    gateways = [Gateway(make_settings(me=me, gateways=2), me) for me in (0, 1)]
    inbox: list[list[Event]] = [[], []]
    for gateway in gateways:
        gateway.handle(START, [BackendList(ListKind.CACHED, (Backend(0, 0), Backend(1, 0)))])
    removed = False
    for ms in range(0, 20_000, 20):
        busy = (ms < 6000 and ms % 400 == 200, ms % 2000 == 0)
        for me, gateway in enumerate(gateways):
            events, inbox[me] = [*inbox[me], TimerFired(0)], []
            if busy[me] or me == 0 and ms == 16_200:
                events.append(Request(2 * ms + me, 7, RATE, 0, 3 * SECOND, 4.0, 2, 0))
            for action in gateway.handle(START + ms * MS, events):
                if isinstance(action, SendPeerMessage):
                    inbox[action.peer].append(PeerMessage(me, action.data))
                elif isinstance(action, Send):
                    ended = AttemptEnded(action.request, 0, action.backend, Outcome.OK, 10 * MS, True)
                    inbox[me].append(ended)
        removed = removed or ms > 7000 and 7 not in gateways[0].quotas.accounts
        account = gateways[1].quotas.accounts[7]
        assert account.global_bucket.level <= account.plan.burst
    assert removed and 7 in gateways[0].quotas.accounts


def test_messages_are_accepted_in_order_when_their_counters_wrap():
    # Comparing tuples drops all messages of a gatekeeper that started after its counter had wrapped.
    def message(incarnation: int, sequence: int) -> bytes:
        return gossip.pack(gossip.Message(incarnation, sequence, 0))

    inbox, last = gossip.Inbox(), 2**32 - 1
    for incarnation, sequence, accepted in (
        (last, last - 1, True),
        (last, last, True),
        (last, 0, True),
        (last, last, False),
        (3, 1, True),
        (last, 5, False),
        (3, 1, False),
        (3, 2, True),
    ):
        assert (inbox.accept(1, message(incarnation, sequence), 0) is not None) == accepted
    outbox = gossip.Outbox()
    outbox.sequence = last
    outbox.message_for(1)
    ((_, first),) = outbox.drain()
    assert first.sequence == 0 and gossip.unpack(gossip.pack(first)) is not None


@pytest.mark.parametrize(
    ("incarnation", "sequence"), [(9 + 2**30, 21), (9, 20 + 2**30), (9 + 2**30, 20 + 2**30)]
)
@pytest.mark.parametrize("heard_before", [True, False])
def test_a_garbled_message_makes_no_gateway_deaf_to_its_sender(incarnation, sequence, heard_before):
    # Guards against one garbled datagram with numbers far ahead, after which all later ones were dropped.
    inbox, now = gossip.Inbox(), START

    def accepts(incarnation: int, sequence: int) -> bool:
        data = gossip.pack(gossip.Message(incarnation, sequence, 0))
        return inbox.accept(1, data, now) is not None

    if heard_before:
        assert accepts(9, 19) and accepts(9, 20)
    assert accepts(incarnation, sequence)
    assert not accepts(9, 22)  # it may be a late one of the process before a restart
    now += 2 * SECOND
    assert not heard_before or not accepts(9, 20)  # heard before the jump
    assert accepts(9, 23) and inbox.incarnation_of(1) == 9
    assert not heard_before or not accepts(9, 20)
    assert accepts(9, 24)


def test_a_restarted_peer_is_not_confused_with_its_former_process():
    inbox, now = gossip.Inbox(), START

    def accepts(incarnation: int, sequence: int) -> bool:
        data = gossip.pack(gossip.Message(incarnation, sequence, 0))
        return inbox.accept(1, data, now) is not None

    assert accepts(9, 4000) and accepts(9, 4001)
    assert accepts(50, 1)
    assert not accepts(9, 4002)
    assert accepts(50, 2)  # the new process has been heard twice
    now += 5 * SECOND
    assert not accepts(9, 4003) and accepts(50, 3)


def test_messages_of_a_peer_that_sends_thousands_to_others_stay_in_order():
    # Guards against old messages taken for new ones where the numbers jump between any two to one receiver.
    inbox, now = gossip.Inbox(), START
    for sequence in range(0, 50_000, 5000):
        assert inbox.accept(1, gossip.pack(gossip.Message(9, sequence, 0)), now) is not None
        now += 2 * SECOND
    for old in (0, 20_000, 39_999, 40_000):
        assert inbox.accept(1, gossip.pack(gossip.Message(9, old, 0)), now) is None


def test_a_customers_total_continues_when_it_wraps():
    received, top = gossip.PeerReports(), gossip.TOTAL_WRAP / gossip.STEPS_PER_UNIT

    def received_total(total: float) -> float:
        entry = gossip.UsageEntry(7, total, 50.0, 0.0, 0.0, 0)
        sent = gossip.unpack(gossip.pack(gossip.Message(1, 1, 0, entries=[entry])))
        assert sent is not None
        return received.record(1, 1, sent.entries[0], 0)

    received_total(top - 2)  # just before the total wraps
    assert received_total(top - 1) == 1
    assert received_total(top + 3) == 4
    assert received_total(top + 2) == -1  # reconciled: units returned


def test_returned_units_do_not_fill_a_bucket_beyond_its_burst():
    # The bucket holds at most the burst; units reconciled below their estimate were added to a full one.
    quotas = Quotas(make_settings(gateways=2))
    account = Account(Request(1, 7, RATE, 0, SECOND, 4.0, 2, 0), START, quotas)
    account.global_bucket.at = START
    account.charge(1.0, START)
    account.charge(-3.0, START)
    assert (
        account.global_bucket.level == account.plan.burst
        and account.local_bucket.level == account.local_bucket.depth
    )


def test_removed_workers_are_forgotten_everywhere():
    # All workers are replaced during the day under new ids, some at the address of a removed one.
    directory = Directory(("a",), lambda ms: ms)
    driver = Driver(backends=0)
    for day in range(50):
        number = directory.id_of(f"w{day}")
        changes = [line(f"w{day}", 9000), *([line(f"w{day - 1}", 9000, "Gone")] if day % 2 else [])]
        driver.feed(
            directory.apply(
                listing(*changes, full=day % 2 == 0), ListKind.FULL if day % 2 == 0 else ListKind.DELTA
            )
        )
        (send,) = only(driver.ask(), Send)
        assert send.backend == number
        report = gossip.BackendReport(number, 0, 0, 0.5)
        driver.feed(PeerMessage(1, gossip.pack(gossip.Message(1, day + 1, 0, backend_reports=[report]))))
        if day % 2:
            driver.end(send, Outcome.FULL)
        else:  # its attempt is still in flight when it is removed
            driver.feed(BackendList(ListKind.FULL, ()))
            assert not driver.gateway.fleet.servers
            driver.end(send, Outcome.RESET)
            driver.feed(directory.apply(listing(line(f"w{day}", 9000)), ListKind.FULL))
    fleet = driver.gateway.fleet
    assert len(directory.ids) == len(directory.names) == len(directory.endpoints) == 1
    assert list(fleet.servers) == [number] == list({backend for backend, _ in fleet.backend_reports.known})
    assert {backend for backend, _ in fleet.backend_reports.pending_forwards} <= {
        number
    } and fleet.in_flight == 0
