"""What the second address tells of a core: counted where the figures for Graphite and collectd are."""

from __future__ import annotations

from collections.abc import Iterator

from pepperrun.admin.calls import Figure
from pepperrun.exchange import End
from pepperrun.gatekeeper import Gatekeeper
from pepperrun.net.directory import Directory
from pepperrun.net.upstream import UpstreamClient

KINDS = {
    "fulfilled": (End.SERVED,),
    "throttled": (End.REFUSED,),
    "faulted": (End.FAILED, End.OUT_OF_TIME),
}


def figures(gatekeeper: Gatekeeper, servers: UpstreamClient, directory: Directory) -> Iterator[Figure]:
    """The figures now."""
    for name, ends in KINDS.items():
        for kind, counts in zip(gatekeeper.settings.classes, gatekeeper.by_class, strict=True):
            yield Figure(f"{name}.{kind.name}", sum(counts[end] for end in ends), True)
    yield Figure("relayed", servers.requests_written, True)
    yield Figure("open_requests", gatekeeper.waiting(), False)
    yield Figure("registry_entries", len(directory.endpoints), False)
    avoided = gatekeeper.gateway.ejected()
    out = sum(directory.address(number) is None or number in avoided for number in directory.endpoints)
    yield Figure("out_of_rotation", out, False)
