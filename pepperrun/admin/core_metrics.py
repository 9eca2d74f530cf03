"""The metrics of a gatekeeper at the admin address.

They come from the same counters as those for Graphite and collectd. Operators match the names
here and those in `pepperrun.metrics`, so the two lists stay different.
"""

from __future__ import annotations

from collections.abc import Iterator

from pepperrun.admin.commands import Metric
from pepperrun.exchange import End
from pepperrun.gatekeeper import Gatekeeper
from pepperrun.net.directory import Directory
from pepperrun.net.upstream import UpstreamClient

ENDS_BY_NAME = {
    "fulfilled": (End.SERVED,),
    "throttled": (End.REFUSED,),
    "faulted": (End.FAILED, End.TIMED_OUT),
}


def core_metrics(gatekeeper: Gatekeeper, upstream: UpstreamClient, directory: Directory) -> Iterator[Metric]:
    """Yields the current value of each metric."""
    for name, ends in ENDS_BY_NAME.items():
        for request_class, counts in zip(gatekeeper.settings.classes, gatekeeper.by_class, strict=True):
            yield Metric(f"{name}.{request_class.name}", sum(counts[end] for end in ends), True)
    yield Metric("relayed", upstream.requests_written, True)
    yield Metric("open_requests", gatekeeper.pending_count(), False)
    yield Metric("registry_entries", len(directory.endpoints), False)
    ejected = gatekeeper.gateway.ejected()
    unavailable = sum(
        directory.address(number) is None or number in ejected for number in directory.endpoints
    )
    yield Metric("out_of_rotation", unavailable, False)
