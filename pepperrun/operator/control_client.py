"""Client for the control API: tries the control addresses in turn and repeats a call with the same bytes."""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable, Mapping
from typing import NamedTuple
from urllib.parse import urlsplit

from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.settings import Address, parse_address

RESPONSE_TIMEOUT_S = 1.5  # for each node; after it the next address is tried
TIMEOUT_PER_KB_S = 0.004  # added for each KB of a request body
RETRY_PAUSE_S = (0.1, 1.0)  # between two passes over the addresses: first and maximum
MAX_REDIRECTS = 2
TIMEOUT_S = 20.0  # for one call, over all attempts


class ControlResponse(NamedTuple):
    """The final response to a call, and the `HOST:PORT` of the node that sent it."""

    status: int
    body: bytes
    address: str


def parse_addresses(text: str) -> list[Address]:
    """Parses `HOST:PORT[,HOST:PORT...]`. Raises PepperrunError if one of them is not an address."""
    return [parse_address(one.strip()) for one in text.split(",") if one.strip()]


class ControlClient:
    """Calls the control nodes at these addresses. `clock` returns s, `sleep` takes s."""

    def __init__(
        self,
        addresses: list[Address],
        timeout_s: float = TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        if not addresses:
            raise PepperrunError("bad-address", "calling a control node", "no control address is given")
        self.addresses, self.timeout_s, self.clock, self.sleep = addresses, timeout_s, clock, sleep
        self.preferred = 0  # index of the address that gave the last final response; tried first

    def call(
        self, method: str, path: str, body: bytes = b"", headers: Mapping[str, str] | None = None
    ) -> ControlResponse:
        """Repeats a call until a node gives a final response: 2xx, or 4xx except 408 and 429.

        Each attempt sends the same bytes. If a change was applied but its response was lost, the repeated
        call therefore still reports that the change was applied. Raises `no-answer` once `timeout_s` have
        passed: one attempt may still be in flight then, and no other begins.
        """
        deadline, pause, last = self.clock() + self.timeout_s, RETRY_PAUSE_S[0], ""
        while True:
            for step in range(len(self.addresses)):
                if last and self.clock() >= deadline:
                    break
                index = (self.preferred + step) % len(self.addresses)
                try:
                    response = self._call_with_redirects(
                        self.addresses[index], method, path, body, headers or {}
                    )
                except (OSError, http.client.HTTPException) as error:
                    last = f"{_host_port(self.addresses[index])}: {type(error).__name__} {error}".strip()
                    continue
                if (
                    response.status < 500
                    and response.status not in (408, 429)
                    and not 300 <= response.status < 400
                ):
                    self.preferred = index
                    return response
                last = (
                    f"{response.address}: {response.status} {response.body[:200].decode('utf-8', 'replace')}"
                ).strip()
            if self.clock() + pause > deadline:
                raise PepperrunError("no-answer", f"{method} {path}", f"nothing is certain; last {last}")
            self.sleep(pause)
            pause = min(RETRY_PAUSE_S[1], 2 * pause)

    def _call_with_redirects(
        self, address: Address, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> ControlResponse:
        for _ in range(MAX_REDIRECTS + 1):
            response, location = self._call_once(address, method, path, body, headers)
            if response.status != 307 or not location:
                break
            parts = urlsplit(location)
            if parts.hostname is None or parts.port is None:
                break
            address, path = (parts.hostname, parts.port), parts.path or path
        return response

    def _call_once(
        self, address: Address, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> tuple[ControlResponse, str]:
        timeout = RESPONSE_TIMEOUT_S + TIMEOUT_PER_KB_S * len(body) / 1024
        connection = http.client.HTTPConnection(*address, timeout=timeout)
        try:
            more = {"Content-Type": "application/json"} if body else {}
            connection.request(method, path, body or None, {"Connection": "close", **more, **headers})
            reply = connection.getresponse()
            return (
                ControlResponse(reply.status, reply.read(), _host_port(address)),
                reply.getheader("Location") or "",
            )
        finally:
            connection.close()


def _host_port(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
