"""Control calls on kept connections: each gets its own answer, in order, and what came in part runs never."""

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
from pepperrun.simulation.conversations.client import read_answers

SIZES = (0, 3, 5_000, BUFFER_BYTES, 2 * BUFFER_BYTES + 7)


@dataclass
class Script:
    """The calls of one connection: each with how long its answer takes (rounds of the loop) and its body."""

    calls: list[tuple[int, int]]
    piece: int
    end: str  # whole | cut | half-close

    def body(self, connection: int, number: int) -> bytes:
        return b"%d.%d|" % (connection, number) + b"b" * self.calls[number][1]

    def bytes_of(self, connection: int) -> bytes:
        out = b""
        for number, (rounds, _) in enumerate(self.calls):
            body = self.body(connection, number)
            out += (
                b"POST /call/%d HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (rounds, len(body))
                + body
            )
        return out[:-1] if self.end == "cut" else out


SCRIPTS = st.builds(
    Script,
    st.lists(st.tuples(st.sampled_from((0, 0, 1, 5, 40)), st.sampled_from(SIZES)), min_size=1, max_size=6),
    st.sampled_from((1_000_000, 70_000, 3_000, 977)),
    st.sampled_from(("whole", "whole", "cut", "half-close")),
)


class Core:
    """Answers with a digest of the call's body, at once or some rounds of the loop later; notes what ran."""

    def __init__(self) -> None:
        self.ran: list[bytes] = []
        self.server = Server(
            any_of(segment("call", variable("rounds", method("POST", endpoint(self.answer)))))
        )

    def answer(self, call):
        self.ran.append(call.body)
        answer = Answer(200, hashlib.sha256(call.body).hexdigest().encode())
        rounds = int(call.values["rounds"])
        return self.later(answer, rounds) if rounds else answer

    async def later(self, answer, rounds):
        for _ in range(rounds):
            await asyncio.sleep(0)
        return answer

    async def port(self) -> int:
        await self.server.open((HOST, 0))
        return self.server.listener.sockets[0].getsockname()[1]


async def converse(port: int, script: Script, connection: int) -> bytes:
    """Sends it all ahead, and reads until nothing more comes."""
    reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 24)
    data = script.bytes_of(connection)

    async def send() -> None:
        for first in range(0, len(data), script.piece):
            writer.write(data[first : first + script.piece])
            await asyncio.sleep(0)
        if script.end == "half-close":
            writer.write_eof()

    sending = asyncio.ensure_future(send())
    got, wanted = b"", len(script.calls) - (script.end == "cut")
    while sum(one.complete for one in read_answers(got, [b"POST"] * 9, False)[0]) < wanted:
        more = await reader.read(1 << 16)
        got += more
        if not more:
            break
    await sending
    writer.transport.abort()
    return got


@given(st.lists(SCRIPTS, min_size=1, max_size=3))
def test_each_call_gets_its_own_answer_in_order(scripts):
    core = Core()

    async def test():
        port = await core.port()
        talks = [converse(port, script, number) for number, script in enumerate(scripts)]
        for connection, got in enumerate(await asyncio.gather(*talks)):
            script = scripts[connection]
            answers, left = read_answers(got, [b"POST"] * len(script.calls), True)
            bodies = [script.body(connection, number) for number in range(len(script.calls))]
            wanted = [hashlib.sha256(body).hexdigest().encode() for body in bodies]
            assert not left and [one.body for one in answers] == wanted[: len(answers)]
            whole = len(wanted) - (script.end == "cut")
            assert len(answers) == whole or script.end == "half-close"
            if script.end == "cut":
                assert bodies[-1] not in core.ran
        await core.server.close(0)

    going(test)
    assert len(core.ran) == len(set(core.ran))


@pytest.mark.parametrize("rounds", [1, 40])
def test_a_caller_that_goes_away_leaves_no_answer_to_the_next(rounds):
    """Its call runs on or not; the next connection, and a call behind it, get nothing of it."""
    core = Core()

    async def test():
        port = await core.port()
        for number in range(20):
            gone = Script([(rounds, 3)], 1_000_000, "whole")
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(gone.bytes_of(100 + number))
            await asyncio.sleep(0)
            writer.transport.abort()
            script = Script([(rounds, 3), (0, 3)], 1_000_000, "whole")
            got = await converse(port, script, number)
            answers, left = read_answers(got, [b"POST"] * 2, True)
            wanted = [hashlib.sha256(script.body(number, segment)).hexdigest().encode() for segment in (0, 1)]
            assert not left and [one.body for one in answers] == wanted
        await core.server.close(0)

    going(test)


def test_a_call_that_is_too_long_is_not_read_as_the_next():
    core = Core()

    async def test():
        port = await core.port()
        reader, writer = await asyncio.open_connection(HOST, port)
        inner = Script([(0, 3)], 1, "whole").bytes_of(0)
        head = b"POST /call/0 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (1 << 30)
        writer.write(head + inner)
        got = await reader.read()
        assert got.startswith(b"HTTP/1.1 413") and got.count(b"HTTP/1.1") == 1 and not core.ran
        await core.server.close(0)

    going(test)
