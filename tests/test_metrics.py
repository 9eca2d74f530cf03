"""Graphite's plaintext lines and collectd's PUTVAL lines, received by test sinks."""

from __future__ import annotations

import asyncio
import json

import pytest
from standins import HOST, Front, StandIn, going, line, ok

from pepperrun.metrics import Sample, collectd, gateway_samples, graphite, process_samples, read_metrics

SAMPLES = [Sample("platform.requests.served", 12, True), Sample("platform.connections.clients", 2.5, False)]


class Sink:
    """A metrics sink that records lines and answers each with the next of `answers`."""

    def __init__(self, *answers: bytes) -> None:
        self.answers = list(answers)
        self.lines: asyncio.Queue[str] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while text := await reader.readline():
            self.lines.put_nowait(text.decode())
            if self.answers:
                writer.write(self.answers.pop(0))
        writer.close()


def test_graphite_gets_a_line_per_metric_and_again_after_a_lost_connection():
    async def test():
        sink = Sink()
        server = await asyncio.start_server(sink.serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        reporter = graphite.reporter((HOST, port), "site.n0", 10.0, lambda: SAMPLES)
        reporter.now_s = lambda: 1700000000
        await reporter.report()
        assert await sink.lines.get() == "site.n0.platform.requests.served 12 1700000000\n"
        assert await sink.lines.get() == "site.n0.platform.connections.clients 2.5 1700000000\n"
        connection = reporter.connection
        sink.writers[0].transport.abort()
        while connection.transport is not None:
            await asyncio.sleep(0)
        await reporter.report()
        assert (await sink.lines.get()).startswith("site.n0.platform.requests.served 12 ")
        reporter.connection.transport.abort()
        server.close()

    going(test)


def test_collectd_gets_putval_lines_and_its_rejections_are_logged(tmp_path, capsys):
    async def test():
        sink = Sink(b"0 Success: 1 value has been dispatched.\n", b"-1 No such type.\n")
        path = str(tmp_path / "collectd.sock")
        server = await asyncio.start_unix_server(sink.serve, path)
        reporter = collectd.reporter(path, "front.example", "pepperrun", 10.0, lambda: SAMPLES)
        reporter.now_s = lambda: 1700000000
        received: asyncio.Queue[str] = asyncio.Queue()
        log = reporter.on_line
        reporter.on_line = lambda text: (log(text), received.put_nowait(text))
        await reporter.report()
        assert await sink.lines.get() == (
            'PUTVAL "front.example/pepperrun-platform/derive-requests_served" interval=10 1700000000:12\n'
        )
        assert await sink.lines.get() == (
            'PUTVAL "front.example/pepperrun-platform/gauge-connections_clients" interval=10 1700000000:2.5\n'
        )
        assert [await received.get(), await received.get()][1] == "-1 No such type."
        reporter.connection.transport.abort()
        server.close()

    going(test)
    assert "No such type" in capsys.readouterr().err


def test_an_unreachable_or_stalled_sink_loses_metrics_only(capsys):
    async def test():
        closed = await asyncio.start_server(lambda r, w: None, HOST, 0)
        port = closed.sockets[0].getsockname()[1]
        closed.close()
        reporter = graphite.reporter((HOST, port), "p", 10.0, lambda: SAMPLES)
        await reporter.report()
        assert reporter.connection is None

        async def stalled(reader, writer):
            writer.transport.pause_reading()

        server = await asyncio.start_server(stalled, HOST, port)
        many = [Sample("x" * 1000, 1, False)] * 400
        reporter = graphite.reporter((HOST, port), "p", 10.0, lambda: many)
        for _ in range(40):
            await reporter.report()
        assert reporter.connection.transport.get_write_buffer_size() < 1 << 20  # the buffer stays bounded
        reporter.connection.transport.abort()
        server.close()

    going(test)
    assert "graphite" in capsys.readouterr().err


def test_metrics_count_requests_attempts_and_connections():
    async def test():
        front, worker = Front(), await StandIn(ok()).start()
        front.list(line("w", worker.port))
        client = await front.client()
        for _ in range(3):
            client.ask()
            await client.answer()
        got = {
            s.name: s.value for s in gateway_samples("platform", front.gatekeeper, front.side, front.listener)
        }
        assert got["platform.requests.served"] == got["platform.attempts.ok"] == 3
        assert got["platform.connections.clients"] == got["platform.connections.backends"] == 1
        assert got["platform.requests.out_of_time"] == got["platform.requests.held"] == 0
        assert all(sample.value > 0 for sample in process_samples())

    going(test)


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"graphite": "nowhere"}, "graphite"),
        ({"graphite": None}, "graphite"),
        ({"interval_s": 0}, "interval_s"),
        ({"prefix": "a b"}, "prefix"),
        ({"host": "a/b"}, "host"),
    ],
)
def test_the_error_of_an_invalid_file_names_its_key(changes, key):
    with pytest.raises(ValueError, match=f"^{key}: "):
        read_metrics(json.dumps({"graphite": f"{HOST}:2003"} | changes))
