"""Messages between gatekeepers: real datagrams, the sender known by its address, garbage dropped."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st
from standins import HOST, SETTINGS, going

from pepperrun.core import gossip
from pepperrun.core.gateway import Gateway
from pepperrun.core.interface import PeerMessage
from pepperrun.net.peers import open_peers


def test_a_message_reaches_its_peer_who_knows_the_sender_by_its_address():
    async def test():
        heard: asyncio.Queue = asyncio.Queue()
        one = await open_peers((HOST, 0), (), 0, print)
        address = one.transport.get_extra_info("sockname")
        stranger = await open_peers((HOST, 0), (), 0, print)
        other = await open_peers(
            (HOST, 0), (address, (HOST, 1)), 1, lambda *message: heard.put_nowait(message)
        )
        to = other.transport.get_extra_info("sockname")
        for sender in (stranger, one):
            sender.peers, sender.own_number = (("", 0), to), 0
        stranger.send(1, b"not for you")
        one.transport.sendto(bytes(257), to)
        one.send(1, bytes(257))  # a longer one is never sent
        one.send(0, b"to itself")
        one.send(9, b"to nobody")
        one.send(1, b"hello")
        assert await heard.get() == (0, b"hello")
        assert heard.empty()
        for peers in (one, stranger, other):
            peers.transport.close()

    going(test)


def test_a_peer_that_refuses_is_no_error():
    async def test():
        one = await open_peers((HOST, 0), (), 0, print)
        one.error_received(ConnectionRefusedError())
        one.transport.close()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        one.send(1, b"too late")

    going(test)


@given(st.binary(max_size=256) | st.binary(max_size=230).map(lambda data: bytes([gossip.VERSION]) + data))
def test_garbage_from_a_peer_changes_nothing(data):
    assert gossip.unpack(data) is None or len(data) >= 18
    Gateway(SETTINGS, 1).handle(1, [PeerMessage(0, data)])
