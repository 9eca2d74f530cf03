"""One soak run: a local cluster, clients and planned work drawn from a seed, and the report."""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path

from pepperrun.operator.local_cluster import HOST, ZONES, LocalCluster, Sizes
from pepperrun.soak.clients import Client, Route, Target
from pepperrun.soak.judge import Finding, judge
from pepperrun.soak.planned_work import PlannedWork
from pepperrun.soak.records import SentRequest, read_runs

SAFE_SERVICE, UNSAFE_SERVICE = "history", "booking"
MEAN_WORK_MS = 500.0  # of a worker's run; the distribution is long-tailed
MAX_ATTEMPTS = 2
MAX_PRINTED_FINDINGS = 10  # the report has all


@dataclass(frozen=True)
class Options:
    """Options of a run; `at_once` and `gap_s` are those of the rolling restarts."""

    seed: int = 1
    seconds: float = 30.0
    cores: int = 3
    gateways: int = 4
    workers: int = 4
    clients: int = 24
    at_once: int = 2
    gap_s: float = 0.5
    grace_s: float = 6.0
    leave_share: float = 0.15


@dataclass
class Report:
    """Results of a run."""

    options: Options
    requests: int = 0
    by_status: dict[str, int] = field(default_factory=dict)
    runs: int = 0
    left: dict[str, int] = field(default_factory=dict)
    planned: dict[str, int] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)

    @property
    def is_good(self) -> bool:
        """Whether no rule was violated and at least one request succeeded."""
        return not self.findings and self.by_status.get("200", 0) > 0

    def text(self) -> str:
        """Return the report as lines of text."""
        statuses = ", ".join(f"{status}: {count}" for status, count in sorted(self.by_status.items()))
        planned = ", ".join(f"{what}: {count}" for what, count in sorted(self.planned.items()))
        rows = [
            f"seed {self.options.seed}: {self.requests} requests, {self.runs} runs",
            f"answers: {statuses}",
            f"left: {', '.join(f'{how}: {count}' for how, count in sorted(self.left.items()))}",
            f"planned: {planned}",
            f"{len(self.findings)} findings",
            *(f"{one.rule}: {one.text}" for one in self.findings[:MAX_PRINTED_FINDINGS]),
        ]
        return "\n".join(rows)


def routes(deadline_ms: int) -> tuple[Route, ...]:
    """Return the routes that clients request; the work of both services takes equally long."""
    return (
        Route(HOST, f"/{SAFE_SERVICE}/", True, deadline_ms, 0.7),
        Route(HOST, f"/{UNSAFE_SERVICE}/", False, deadline_ms, 0.3),
    )


def changed_routes(number: int) -> dict[str, object]:
    """Return the n-th change: other deadlines, far longer than any work."""
    columns = ["name", "depot", "prefix", "route_kind", "deadline_ms", "target_ms", "tries", "line"]
    deadline_ms = 12000 + number % 100
    rows: list[list[object]] = [
        [
            f"r-{SAFE_SERVICE}",
            HOST,
            f"/{SAFE_SERVICE}/",
            "safe",
            deadline_ms,
            3000,
            MAX_ATTEMPTS,
            SAFE_SERVICE,
        ],
        [
            f"r-{UNSAFE_SERVICE}",
            HOST,
            f"/{UNSAFE_SERVICE}/",
            "unsafe",
            deadline_ms,
            3000,
            MAX_ATTEMPTS,
            UNSAFE_SERVICE,
        ],
    ]
    return {"columns": columns, "rows": rows}


def run_soak(options: Options, folder: str | None) -> Report:
    """Do one run and return its report.

    Settings, logs, records and the report are written to `folder`, a new temporary one if None.
    """
    run_directory = Path(folder).resolve() if folder else Path(tempfile.mkdtemp(prefix="pepperrun-soak-"))
    sizes = Sizes(options.cores, options.gateways, options.workers, (SAFE_SERVICE, UNSAFE_SERVICE))
    records = run_directory / "records"
    records.mkdir(parents=True, exist_ok=True)
    worker_options = ("--work", f"{MEAN_WORK_MS:g}", "--berths", "6", "--record", f"{records}/{{name}}.jsonl")
    cluster = LocalCluster(sizes, run_directory, options.grace_s, worker_options)
    try:
        cluster.start()
        report = asyncio.run(_run(options, cluster, records))
    finally:
        cluster.shut_down()
    (run_directory / "report.json").write_text(json.dumps(asdict(report), indent=1))
    return report


async def _run(options: Options, cluster: LocalCluster, records: Path) -> Report:
    rng, sent = random.Random(options.seed), list[SentRequest]()
    directory = [(ip, cluster.ports["directory_port"]) for ip in cluster.control_nodes]
    regions = sorted(set(ZONES.values()))
    clients = []
    for number in range(options.clients):
        target = Target(
            directory, regions[number % len(regions)], routes(12000), cluster.key, options.leave_share
        )
        clients.append(Client(f"c{number}", target, random.Random(rng.random()), sent))
    planned_work = PlannedWork(cluster, random.Random(rng.random()), options.at_once, options.gap_s)
    stop_work, stop_clients = asyncio.Event(), asyncio.Event()
    started_ns = time.monotonic_ns()  # earlier runs are of the cluster's own readiness requests
    await planned_work.change(changed_routes)  # from here on the unsafe route is configured as unsafe
    async with asyncio.TaskGroup() as group:
        for client in clients:
            group.create_task(client.run(stop_clients))
        work_task = group.create_task(planned_work.run(stop_work, changed_routes))
        await asyncio.sleep(options.seconds)
        stop_work.set()
        await work_task  # clients continue until the last restart step has ended
        stop_clients.set()
    edition = await planned_work.read_edition()
    report = _build_report(options, planned_work, sent, records, started_ns)
    if edition < planned_work.edition:
        text = f"{planned_work.edition} was acknowledged as edition, but {edition} is read back"
        report.findings.append(Finding("CONFIG", str(planned_work.edition), text))
    return report


def _build_report(
    options: Options, planned_work: PlannedWork, sent: list[SentRequest], records: Path, started_ns: int
) -> Report:
    runs = [one for one in read_runs(sorted(records.glob("*.jsonl"))) if one.started_ns >= started_ns]
    findings = judge(sent, runs, planned_work.stops, int(options.grace_s * 1e9))
    findings += [Finding("GRACE", name, f"{name} outlived its grace period") for name in planned_work.overdue]
    statuses = Counter(str(one.status or "no answer") for one in sent if not one.disconnected_ns)
    left = Counter(one.disconnect_kind for one in sent if one.disconnected_ns)
    return Report(
        options, len(sent), dict(statuses), len(runs), dict(left), dict(planned_work.counts), findings
    )
