"""Messages between gatekeepers: real datagrams, senders identified by address, malformed data dropped."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st
from standins import HOST, SETTINGS, going

from pepperrun.core import gossip
from pepperrun.core.gateway import Gateway
from pepperrun.core.interface import PeerMessage
from pepperrun.net.peers import open_peers


def test_a_message_reaches_its_peer_which_identifies_the_sender_by_address():
    async def test():
        received: asyncio.Queue = asyncio.Queue()
        peer_0 = await open_peers((HOST, 0), (), 0, print)
        address = peer_0.transport.get_extra_info("sockname")
        unknown_sender = await open_peers((HOST, 0), (), 0, print)
        peer_1 = await open_peers(
            (HOST, 0), (address, (HOST, 1)), 1, lambda *message: received.put_nowait(message)
        )
        peer_1_address = peer_1.transport.get_extra_info("sockname")
        for sender in (unknown_sender, peer_0):
            sender.peers, sender.own_number = (("", 0), peer_1_address), 0
        unknown_sender.send(1, b"not for you")
        peer_0.transport.sendto(bytes(257), peer_1_address)
        peer_0.send(1, bytes(257))  # beyond the maximum size: not sent
        peer_0.send(0, b"to itself")
        peer_0.send(9, b"to nobody")
        peer_0.send(1, b"hello")
        assert await received.get() == (0, b"hello")
        assert received.empty()
        for peers in (peer_0, unknown_sender, peer_1):
            peers.transport.close()

    going(test)


def test_a_refused_datagram_is_not_an_error():
    async def test():
        peer_0 = await open_peers((HOST, 0), (), 0, print)
        peer_0.error_received(ConnectionRefusedError())
        peer_0.transport.close()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        peer_0.send(1, b"too late")

    going(test)


@given(st.binary(max_size=256) | st.binary(max_size=230).map(lambda data: bytes([gossip.VERSION]) + data))
def test_malformed_data_from_a_peer_has_no_effect(data):
    assert gossip.unpack(data) is None or len(data) >= 18
    Gateway(SETTINGS, 1).handle(1, [PeerMessage(0, data)])
