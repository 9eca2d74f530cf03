"""While the one gatekeeper of a region is rolled, the directory names machines outside of a route's homes."""

from __future__ import annotations

import asyncio
import json
import os
import random
import secrets
import signal
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support_2 import standins
from support_2.deployment import Address, Deployment, Machine, Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # 0: the same without the disruption
ZONES = {"north-a": "north", "south-a": "south", "east-a": "east"}
DAY_S, ROLL_AT_S, GAP_S = 32.0, 5.0, 1.0  # the site's length of a day; `roll_term`: one at a time, each gap_s
RESTART_S = 0.5  # "it starts again after a short delay"
CLIENTS, PAUSE_S = 12, 0.5  # of each zone, and between two requests of one
ALLOWED_SHARE = 1 / 20


class Client:
    """A client that asks the directory where to go, as the users' page says, for a route with a home."""

    def __init__(self, record: Record, system: Deployment, zone: str) -> None:
        self.record, self.system, self.zone, self.region = record, system, zone, ZONES[zone]
        self.host = host_of(self.region)
        self.addresses: list[str] = []
        self.valid_until = 0.0
        self.sent: list[tuple[float, str, int]] = []  # when, region of the gatekeeper, status
        self.regions = {f"{one.ip}:{system.ports['counter']}": ZONES[one.zone] for one in system.gateways}

    async def run(self, until: float) -> None:
        """Send requests until then."""
        await asyncio.sleep(random.uniform(0, PAUSE_S))
        while self.record.now() < until:
            await self._ask()
            await asyncio.sleep(PAUSE_S * random.uniform(0.7, 1.3))

    async def _resolve(self) -> None:
        path = f"/resolve?name={self.host}&region={self.region}&zone={self.zone}"
        places = [(one.ip, self.system.ports["directory_port"]) for one in self.system.control]
        random.shuffle(places)
        for place in places[:3]:
            reply = await standins.call(place, "GET", path, {}, b"", standins.SILENCE_S)
            told = json.loads(reply.body) if reply is not None and reply.status == 200 else {}
            if told.get("addresses") and "ttl_s" in told:
                self.addresses = told["addresses"]
                self.valid_until = self.record.now() + min(told["ttl_s"], 5)
                return

    async def _ask(self) -> None:
        if self.record.now() >= self.valid_until:
            await self._resolve()
        failed: set[str] = set()
        while left := [one for one in self.addresses if one not in failed]:
            address = random.choice(left)
            if await self._send(address):
                return
            failed.add(address)

    async def _send(self, address: str) -> bool:
        id_ = secrets.token_hex(8)
        host, _, port = address.rpartition(":")
        at = self.record.write("send", id=id_, client=self.zone, gatekeeper=self.regions[address])
        fields = {"Host": self.host, "Attempt-Id": id_, "Deadline-Ms": "2000"}
        fields["Authorization"] = f"Token {standins.KEY}"
        where: Address = host, int(port)
        reply = await standins.call(where, "POST", "/home/1", fields, b"patient", 3.0)
        status = reply.status if reply is not None else 0
        self.record.write("answer", id=id_, status=status)
        if status:
            self.sent.append((at, self.regions[address], status))
        return status != 0


def host_of(region: str) -> str:
    """Return the host of the routes whose home is this region."""
    return f"{region}.review.example"


async def case(record: Record, trouble: bool) -> list[str]:
    """Play the case; return what broke the rule."""
    system = Deployment(record, ZONES, list(ZONES), list(ZONES), workers=len(ZONES))
    workers = [
        standins.Worker(record, system, f"w-{zone}", "atlas", zone, host)
        for zone, host in zip(ZONES, system.worker_hosts, strict=True)
    ]
    routes = [
        [f"h-{one}", host_of(one), "/home/", "unsafe", 2000, 800, 1, None, 2, False, [one], "atlas"]
        for one in ZONES.values()
    ]
    try:
        system.launch_all()
        for worker in workers:
            await worker.start()
        await standins.wait_until_serving(record, system, "atlas", workers, more_routes=routes)
        async with asyncio.timeout(80):
            return await _play(record, system, trouble)
    finally:
        for worker in workers:
            await worker.stop()


async def _play(record: Record, system: Deployment, trouble: bool) -> list[str]:
    await asyncio.sleep(5)
    ends_at = record.now() + DAY_S
    clients = [Client(record, system, zone) for zone in ZONES for _ in range(CLIENTS)]
    asking = [asyncio.create_task(client.run(ends_at)) for client in clients]
    await asyncio.sleep(ROLL_AT_S)
    if trouble:
        for machine in system.gateways:
            await _restart(system, machine)
            await asyncio.sleep(GAP_S)
    await asyncio.gather(*asking)
    sent = [(client.region, region) for client in clients for _, region, _ in client.sent]
    outside = sum(region != home for home, region in sent)
    served = sum(status == 200 for client in clients for _, _, status in client.sent)
    record.write("sum", sent=len(sent), served=served, outside=outside)
    if outside > ALLOWED_SHARE * len(sent):
        return [
            f"HOME: {outside} of {len(sent)} requests on routes with homes ({outside / len(sent):.1%}) went"
            f" to machines of another region, which the directory had named (bound {ALLOWED_SHARE:.0%})"
        ]
    standins.require_served(served, len(sent))
    return []


async def _restart(system: Deployment, machine: Machine) -> None:
    """Stop a process with SIGTERM, and start it again once it has ended."""
    system.signal(machine, signal.SIGTERM)
    process = machine.process
    assert isinstance(process, subprocess.Popen)
    await asyncio.to_thread(process.wait, system.bounds["grace_s"] + 1)
    await asyncio.sleep(RESTART_S)
    system.launch(machine)


if __name__ == "__main__":
    sys.exit(standins.play(case, TROUBLE, str(Path(__file__).parent)))
