"""An operator's calls to the core: one address after the other, the same bytes each time."""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable, Mapping
from typing import NamedTuple
from urllib.parse import urlsplit

from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.settings import Address, parse_address

ANSWER_S = 1.5  # a machine that says nothing for so long is passed over
PER_KB_S = 0.004  # and for each KB of a body
PAUSE_S = (0.1, 1.0)  # between two rounds of the addresses: at first, and at most
REDIRECTS = 2
TIMEOUT_S = 20.0


class CoreResponse(NamedTuple):
    """The clear answer, and who gave it."""

    status: int
    body: bytes
    address: str


def parse_addresses(text: str) -> list[Address]:
    """`HOST:PORT[,HOST:PORT...]`; PepperrunError where one is none."""
    return [parse_address(one.strip()) for one in text.split(",") if one.strip()]


class CoreClient:
    """Calls the core machines at these control addresses. `clock` in s, `sleep` by s."""

    def __init__(
        self,
        addresses: list[Address],
        timeout_s: float = TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        if not addresses:
            raise PepperrunError("bad-address", "calling the core", "no control address is given")
        self.addresses, self.timeout_s, self.clock, self.sleep = addresses, timeout_s, clock, sleep
        self.preferred = 0

    def call(
        self, method: str, path: str, body: bytes = b"", headers: Mapping[str, str] | None = None
    ) -> CoreResponse:
        """Until one answers clearly: 2xx or 4xx but 408 and 429. Raises `no-answer` after `patience_s`.

        What is sent is the same each time, so that a change that was taken without the answer coming through
        is told as taken when it is repeated.
        """
        end, pause, last = self.clock() + self.timeout_s, PAUSE_S[0], "nobody was asked"
        while True:
            for step in range(len(self.addresses)):
                number = (self.preferred + step) % len(self.addresses)
                try:
                    told = self._follow(self.addresses[number], method, path, body, headers or {})
                except (OSError, http.client.HTTPException) as error:
                    last = f"{_text(self.addresses[number])}: {type(error).__name__} {error}".strip()
                    continue
                if told.status < 500 and told.status not in (408, 429) and not 300 <= told.status < 400:
                    self.preferred = number
                    return told
                last = f"{told.address}: {told.status} {told.body[:200].decode('utf-8', 'replace')}".strip()
            if self.clock() + pause > end:
                raise PepperrunError("no-answer", f"{method} {path}", f"nothing is certain; last {last}")
            self.sleep(pause)
            pause = min(PAUSE_S[1], 2 * pause)

    def _follow(
        self, where: Address, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> CoreResponse:
        for _ in range(REDIRECTS + 1):
            answer, location = self._once(where, method, path, body, headers)
            if answer.status != 307 or not location:
                break
            parts = urlsplit(location)
            if parts.hostname is None or parts.port is None:
                break
            where, path = (parts.hostname, parts.port), parts.path or path
        return answer

    def _once(
        self, where: Address, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> tuple[CoreResponse, str]:
        timeout = ANSWER_S + PER_KB_S * len(body) / 1024
        connection = http.client.HTTPConnection(*where, timeout=timeout)
        try:
            more = {"Content-Type": "application/json"} if body else {}
            connection.request(method, path, body or None, {"Connection": "close", **more, **headers})
            response = connection.getresponse()
            return CoreResponse(response.status, response.read(), _text(where)), response.getheader(
                "Location"
            ) or ""
        finally:
            connection.close()


def _text(where: Address) -> str:
    return f"{where[0]}:{where[1]}"
