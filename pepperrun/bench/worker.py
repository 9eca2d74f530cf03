"""A stand-in worker: `python3 -m pepperrun.bench.worker PORT SERVICE_MS` serves until its input ends."""

from __future__ import annotations

import asyncio
import sys

from pepperrun.net.buffered import BufferedConnection
from pepperrun.net.http1 import REQUEST_BUFFER_SIZE, HttpError, RequestParser, encode_response

HOST = "127.0.0.1"


class Worker(BufferedConnection):
    """Answers each request after the service time, one at a time on a connection."""

    def __init__(self, service_s: float) -> None:
        super().__init__(REQUEST_BUFFER_SIZE)
        self.service_s = service_s
        self.parser = RequestParser(self.buffer)

    def on_data(self) -> None:
        try:
            while self.parser.next() is not None:
                asyncio.get_running_loop().call_later(self.service_s, self._answer)
        except HttpError:
            if self.transport is not None:
                self.transport.close()

    def _answer(self) -> None:
        if self.transport is not None:
            self.transport.write(encode_response(200, [(b"X-Units-Charged", b"1")], b"served\n", False))


async def serve(port: int, service_s: float) -> None:
    """Until standard input ends, which it does with the process that started this one."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Worker(service_s), HOST, port, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)
    server.close()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), float(sys.argv[2]) / 1000))
