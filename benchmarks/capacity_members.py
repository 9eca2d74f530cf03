"""What probes among gatekeepers, messages of quotas and callers' look-ups take, by size.

    python3 benchmarks/capacity_members.py [--sizes 30 100 300] [--listed 1000 10000] [--seconds 10]

`probe`: real `GatewayProber`s in virtual time with 1 ms between them and nobody ill: datagrams and payload
bytes a second, ms of processor time a second, of one. `quota`: bytes and processor time of the ask and the
answer that a request on a limited tenant's account sends where keepers are agreed on, with UDP and IP heads,
at so many requests a second; how deep one gatekeeper's part of a quota is where it is split. Nothing of it
depends on how many peers there are, except which part is whose.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import json
import time
from typing import Any

from capacity_common import ZONES, best_ms, each_us, gateway_rows, in_child, law, state

from pepperrun.control.changes import encode_configuration
from pepperrun.control.directory import choose_gateways
from pepperrun.control.endpoint_registry import EndpointRegistry
from pepperrun.control.quota_placement import first_domains
from pepperrun.control.records import GatewayRecord
from pepperrun.core import gossip
from pepperrun.core.quota_owners import rendezvous_weight
from pepperrun.dataplane.numbering import PEER_MESSAGES_PER_S, Numbering
from pepperrun.dataplane.peer_messages import HEADER
from pepperrun.foundation.settings import Bounds
from pepperrun.membership.gateway_prober import MAX_GATEWAYS, GatewayProber

MS = 1_000_000
IP_UDP = 28
PERIOD = 13 * MS  # between two looks at one prober, at most


def probed(size: int, seconds: float, warm_s: float) -> dict[str, float]:
    """A group that has met, then is looked at."""
    records = [GatewayRecord.from_row(row) for row in gateway_rows(size)]
    probers = [GatewayProber(one.name, one.region, one.incarnation, at, 1) for at, one in enumerate(records)]
    place: dict[Any, int] = {}
    for at, (prober, one) in enumerate(zip(probers, records, strict=True)):
        prober.update_gateways(records)
        host, _, port = one.internal_address.rpartition(":")
        place[host, int(port)] = at
    where = {at: address for address, at in place.items()}
    events: list[tuple[int, int, int, Any]] = [(at * MS // 7, at, at, None) for at in range(size)]
    heapq.heapify(events)
    count, sent, size_of = size, 0, 0
    warm = int(warm_s * 1e9)
    end, began = warm + int(seconds * 1e9), 0.0
    while events and events[0][0] < end:
        now, _, at, what = heapq.heappop(events)
        if now >= warm and not began:
            began, sent, size_of = time.process_time(), 0, 0
        prober = probers[at]
        if what is None:
            prober.tick(now)
        else:
            prober.receive(what[1], what[0], now)
        for to, data in prober.take_outgoing():
            count, sent, size_of = count + 1, sent + 1, size_of + len(data)
            heapq.heappush(events, (now + MS, count, place[to], (where[at], data)))
        if what is None:
            count += 1
            heapq.heappush(
                events, (max(now + 5 * MS, min(prober.due(), now + 1000 * PERIOD)), count, at, None)
            )
    spent = time.process_time() - began
    return {
        "datagrams_a_second": sent / size / seconds,
        "bytes_a_second": size_of / size / seconds,
        "ms_a_second": spent * 1000 / size / seconds,
    }


def keepers_costs(size: int) -> dict[str, float]:
    """Agreed lists of keepers of so many gatekeepers; what a tenant's first request after a change takes."""
    gateways = [GatewayRecord.from_row(row) for row in gateway_rows(size)]
    places = first_domains(gateways, frozenset(one.name for one in gateways))
    all_regions = {one.region: [] for one in gateways}  # type: dict[str, list[str]]
    for one in gateways:
        all_regions[one.region].append(one.name)
    largest = max(places.values(), key=len)
    return {
        "listed": sum(len(stations) for stations in places.values()),
        "lists_bytes": len(json.dumps(places, separators=(",", ":"))),
        "lists_bytes_all_regions": len(json.dumps(all_regions, separators=(",", ":"))),
        "keeper_chosen_us": len(places)
        * each_us(lambda: max(largest, key=lambda one: rendezvous_weight(7, one)), 20),
    }


def resolve_costs(size: int) -> dict[str, float]:
    """One client's look-up at the directory."""
    cells, seeds = EndpointRegistry("10.9.0.1", 1500, 0), itertools.count()
    for row in gateway_rows(size):
        cells.gateway_heartbeat(GatewayRecord.from_row(row), MS)

    def asked() -> None:
        choose_gateways(cells.ready_gateways(MS), "zone-3", "region-1", ZONES, next(seeds))

    return {"look_up_us": each_us(asked, 30)}


def read_costs(size: int) -> dict[str, float]:
    """A read of the whole configuration with so many tenants: bytes, and what it takes to make."""
    body = state(0, size)
    text = json.dumps(encode_configuration(body), separators=(",", ":"))
    return {
        "read_ms": best_ms(lambda: json.dumps(encode_configuration(body), separators=(",", ":")), 3),
        "read_bytes": len(text),
        "read_parsed_ms": best_ms(lambda: json.loads(text), 3),
    }


def quota(rate: float) -> None:
    """Messages of one kept quota, and parts of a split one."""
    ask = gossip.Message(1, 2, 0, 0.1, unit_requests=[gossip.UnitRequest(7, 1, 1.0, 0.0, 1, 1, 1)])
    answer = gossip.Message(1, 2, 0, 0.1, unit_responses=[gossip.UnitResponse(7, 1, 1.0, 0, False, False)])
    asked, answered = gossip.pack(ask), gossip.pack(answer)
    sizes = [len(one) + HEADER.size + IP_UDP for one in (asked, answered)]
    took = each_us(
        lambda: (gossip.pack(ask), gossip.unpack(asked), gossip.pack(answer), gossip.unpack(answered))
    )
    print(
        f"quota ask_bytes={sizes[0]} answer_bytes={sizes[1]} packed_and_read_us={took:.1f}"
        f" requests_a_second={rate:g} bytes_a_second={rate * sum(sizes):.0f}"
        f" as_asker_and_as_keeper={2 * rate * sum(sizes):.0f} ms_a_second={rate * took / 1000:.2f}"
        f" intake_a_second={PEER_MESSAGES_PER_S:g}"
    )
    bounds, numbering = Bounds(quota_slack=10.0), Numbering(Bounds(quota_slack=10.0))
    for gateways in (30, 100, 300, 1000, 19000):
        numbering.set_gateways(gateways)
        deep = 4 * (1 + bounds.quota_excess) + bounds.quota_slack
        part = deep / numbering.quota_shares
        print(f"quota surge=4 slack=10 gateways={gateways} deep={deep:g} one_part={part:.4f} requests")


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sizes", type=int, nargs="+", default=[30, 100, 300])
    parser.add_argument("--listed", type=int, nargs="+", default=[1000, 3000, 10000, 30000])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--warm", type=float, default=25.0, help="seconds until all have met")
    parser.add_argument("--rate", type=float, default=95.0, help="requests a second of one gatekeeper")
    given = parser.parse_args()
    quota(given.rate)
    lists = [in_child(lambda size=size: keepers_costs(size)) for size in given.listed]
    for name in lists[0]:
        law(f"keepers {name}", given.listed, [row[name] for row in lists], name.rpartition("_")[2])
    looked = [in_child(lambda size=size: resolve_costs(size)) for size in given.listed]
    law("directory look_up_us", given.listed, [row["look_up_us"] for row in looked], "us")
    reads = [in_child(lambda size=size: read_costs(size)) for size in given.listed]
    for name in reads[0]:
        law(
            f"operator {name} by tenants", given.listed, [row[name] for row in reads], name.rpartition("_")[2]
        )
    print(f"probe most={MAX_GATEWAYS} gatekeepers are watched by one")
    rows = [in_child(lambda size=size: probed(size, given.seconds, given.warm)) for size in given.sizes]
    for name in rows[0]:
        law(f"probe {name}", given.sizes, [row[name] for row in rows], name)


if __name__ == "__main__":
    main()
