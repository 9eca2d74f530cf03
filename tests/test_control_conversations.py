"""Calls on persistent connections: each gets its own answer, in order; an incomplete call never runs."""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st
from standins import HOST, going

from pepperrun.control.matchers import Answer, any_of, endpoint, method, segment, variable
from pepperrun.control.server import BUFFER_BYTES, Server
from pepperrun.simulation.conversations.client import parse_responses

SIZES = (0, 3, 5_000, BUFFER_BYTES, 2 * BUFFER_BYTES + 7)


@dataclass
class Script:
    """The calls of one connection: each has a response delay in event loop iterations, and a body size."""

    calls: list[tuple[int, int]]
    chunk_bytes: int
    end: str  # complete | truncated | half-close

    def body(self, connection: int, number: int) -> bytes:
        return b"%d.%d|" % (connection, number) + b"b" * self.calls[number][1]

    def bytes_of(self, connection: int) -> bytes:
        out = b""
        for number, (iterations, _) in enumerate(self.calls):
            body = self.body(connection, number)
            out += (
                b"POST /call/%d HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (iterations, len(body))
                + body
            )
        return out[:-1] if self.end == "truncated" else out


SCRIPTS = st.builds(
    Script,
    st.lists(st.tuples(st.sampled_from((0, 0, 1, 5, 40)), st.sampled_from(SIZES)), min_size=1, max_size=6),
    st.sampled_from((1_000_000, 70_000, 3_000, 977)),
    st.sampled_from(("complete", "complete", "truncated", "half-close")),
)


class DigestServer:
    """Answers with a digest of the call's body, at once or some loop iterations later; records the calls."""

    def __init__(self) -> None:
        self.ran: list[bytes] = []
        self.server = Server(
            any_of(segment("call", variable("iterations", method("POST", endpoint(self.answer)))))
        )

    def answer(self, call):
        self.ran.append(call.body)
        answer = Answer(200, hashlib.sha256(call.body).hexdigest().encode())
        iterations = int(call.values["iterations"])
        return self.answer_later(answer, iterations) if iterations else answer

    async def answer_later(self, answer, iterations):
        for _ in range(iterations):
            await asyncio.sleep(0)
        return answer

    async def port(self) -> int:
        await self.server.open((HOST, 0))
        return self.server.listener.sockets[0].getsockname()[1]


async def converse(port: int, script: Script, connection: int) -> bytes:
    """Pipeline all calls, read the answers, and return the received bytes."""
    reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 24)
    data = script.bytes_of(connection)

    async def send() -> None:
        for first in range(0, len(data), script.chunk_bytes):
            writer.write(data[first : first + script.chunk_bytes])
            await asyncio.sleep(0)
        if script.end == "half-close":
            writer.write_eof()

    sending = asyncio.ensure_future(send())
    received, expected_count = b"", len(script.calls) - (script.end == "truncated")
    while sum(one.complete for one in parse_responses(received, [b"POST"] * 9, False)[0]) < expected_count:
        more = await reader.read(1 << 16)
        received += more
        if not more:
            break
    await sending
    writer.transport.abort()
    return received


@given(st.lists(SCRIPTS, min_size=1, max_size=3))
def test_each_call_gets_its_own_answer_in_order(scripts):
    target = DigestServer()

    async def test():
        port = await target.port()
        conversations = [converse(port, script, number) for number, script in enumerate(scripts)]
        for connection, received in enumerate(await asyncio.gather(*conversations)):
            script = scripts[connection]
            answers, left = parse_responses(received, [b"POST"] * len(script.calls), True)
            bodies = [script.body(connection, number) for number in range(len(script.calls))]
            expected = [hashlib.sha256(body).hexdigest().encode() for body in bodies]
            assert not left and [one.body for one in answers] == expected[: len(answers)]
            complete = len(expected) - (script.end == "truncated")
            assert len(answers) == complete or script.end == "half-close"
            if script.end == "truncated":
                assert bodies[-1] not in target.ran
        await target.server.close(0)

    going(test)
    assert len(target.ran) == len(set(target.ran))


@pytest.mark.parametrize("iterations", [1, 40])
def test_an_answer_to_a_disconnected_client_goes_to_no_other_connection(iterations):
    """Whether its call still runs or not, the next connection and its second call get their own answers."""
    target = DigestServer()

    async def test():
        port = await target.port()
        for number in range(20):
            gone = Script([(iterations, 3)], 1_000_000, "complete")
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(gone.bytes_of(100 + number))
            await asyncio.sleep(0)
            writer.transport.abort()
            script = Script([(iterations, 3), (0, 3)], 1_000_000, "complete")
            received = await converse(port, script, number)
            answers, left = parse_responses(received, [b"POST"] * 2, True)
            expected = [hashlib.sha256(script.body(number, call)).hexdigest().encode() for call in (0, 1)]
            assert not left and [one.body for one in answers] == expected
        await target.server.close(0)

    going(test)


def test_the_body_of_a_call_that_is_too_long_is_not_read_as_the_next_call():
    target = DigestServer()

    async def test():
        port = await target.port()
        reader, writer = await asyncio.open_connection(HOST, port)
        inner = Script([(0, 3)], 1, "complete").bytes_of(0)
        head = b"POST /call/0 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (1 << 30)
        writer.write(head + inner)
        received = await reader.read()
        assert received.startswith(b"HTTP/1.1 413") and received.count(b"HTTP/1.1") == 1 and not target.ran
        await target.server.close(0)

    going(test)
