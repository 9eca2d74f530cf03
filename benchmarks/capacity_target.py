"""What today's code would take at the users' target, and at which size each cost crosses its limit.

    python3 benchmarks/capacity_target.py

Arithmetic only: the slopes are those that the other `capacity_*` programs and `hollow_gateways.py` printed
(the page names the command of each), carried on linearly. Ms are of a whole processor of the machine that
measured.
"""

from __future__ import annotations

import argparse
import math
from dataclasses import dataclass

DAY_S = 86_400.0
GATEWAYS, WORKERS, SERVICES, ROUTES, TENANTS = 19_000, 77_000, 1_500, 18_000, 1_900_000
REQUESTS, CHANGES, RESTARTS, CORES, REGIONS, ZONES = 1_800_000.0, 85_000 / DAY_S, 16_000, 32, 20, 59
MEMORY_MB, CPU_MS, BYTES_S = 33.554, 26.0, 12_000.0  # of a gatekeeper, for control
CORE_MS = 500.0  # a second, of a core machine's processor: half of a whole one (ours, the users name none)
ROWS_OF_A_RESTART = 3  # unloading, gone, boarding; of a gatekeeper two change who is there


@dataclass(frozen=True)
class Cost:
    """A cost that grows as `per * size + base`."""

    name: str
    unit: str
    per: float
    base: float
    size: float
    limit: float
    what: str

    def print(self) -> None:
        """One row: at the target, and the size at which it alone crosses its limit."""
        at_target = self.per * self.size + self.base
        crosses = (self.limit - self.base) / self.per
        print(
            f"{self.name}: at_target={at_target:.4g} {self.unit} limit={self.limit:.4g}"
            f" times={at_target / self.limit:.3g} crosses_at={max(0.0, crosses):.4g} {self.what}"
        )


def churn(machines: float) -> float:
    """Restarts a second of so many of all machines."""
    return RESTARTS * machines / (GATEWAYS + WORKERS) / DAY_S


def today() -> list[Cost]:
    """Each slope, as measured."""
    gateway_changes = 2 * churn(GATEWAYS)
    each_core = 1 / CORES
    items = ROUTES + TENANTS
    return [
        Cost("memory of workers' rows", "MB", 1378e-6, 0, WORKERS, MEMORY_MB, "workers"),
        Cost("memory of gatekeepers' rows", "MB", 1533e-6, 0, GATEWAYS, MEMORY_MB, "gatekeepers"),
        Cost("memory of routes", "MB", 1822e-6, 0, ROUTES, MEMORY_MB, "routes"),
        Cost("memory of services", "MB", 17370e-6, 0, SERVICES, MEMORY_MB, "services"),
        Cost("memory of tenants", "MB", 1687e-6, 0, TENANTS, MEMORY_MB, "tenants"),
        Cost(
            "a tenant's row after a gatekeeper came",
            "ms/s",
            0.01749 * gateway_changes,
            0,
            TENANTS,
            CPU_MS,
            "tenants",
        ),
        Cost(
            "a gatekeeper came, by gatekeepers",
            "ms",
            0.002359,
            1.65,
            GATEWAYS,
            CPU_MS / gateway_changes,
            "gatekeepers",
        ),
        Cost("a change taken, by routes", "ms/s", 0.0018 * CHANGES, 16.2 * CHANGES, ROUTES, CPU_MS, "routes"),
        Cost(
            "a change taken, by tenants",
            "ms/s",
            0.00083 * CHANGES,
            16.2 * CHANGES,
            TENANTS,
            CPU_MS,
            "tenants",
        ),
        Cost("a change down 5 relays, by tenants", "ms", 5 * 0.000653, 39, TENANTS, 4000, "tenants"),
        Cost("the whole state in one frame", "MB", 133e-6, 0.207, TENANTS, 8 * 1.048576, "tenants"),
        Cost("the disk's map, three bodies", "MB", 3 * 133e-6, 0.62, TENANTS, 64 * 1.048576, "tenants"),
        Cost("a change at a voter", "ms", 0.00517, 3.4, items, 850, "routes and tenants"),
        Cost("ticks at a core machine", "ms/s", 0.41 * each_core, 10, GATEWAYS, CORE_MS, "gatekeepers"),
        Cost("beats at a core machine", "ms/s", 0.27 * each_core / 1.5, 0, WORKERS, CORE_MS, "workers"),
        Cost("the look at who is silent", "ms/s", 0.002, 0, WORKERS + GATEWAYS, CORE_MS, "records"),
        Cost("vouching of the others", "ms/s", 0.000544, 0.7, WORKERS + GATEWAYS, CORE_MS, "records"),
        Cost("a read by the operator", "ms", 0.004765, 6.2, TENANTS, 1000, "tenants"),
        Cost("survey of all workers, four a second", "ms/s", 4 * 0.006065, 0, WORKERS, CPU_MS, "workers"),
        Cost("one survey, a stall of all requests", "ms", 0.006065, 0, WORKERS, 1.4, "workers"),
        Cost("one turn of the decisions", "ms", 0.000864, 0.025, SERVICES, 1.4, "services"),
        Cost("one look-up at the directory", "ms", 0.00135, 0, GATEWAYS, 5, "gatekeepers"),
        Cost(
            "keepers chosen, each request of another tenant",
            "ms/s",
            0.000244 * 95,
            0,
            GATEWAYS,
            CPU_MS,
            "gatekeepers",
        ),
        Cost(
            "asks for quota, as asker and as keeper",
            "B/s",
            2 * 138,
            0,
            REQUESTS / GATEWAYS,
            BYTES_S,
            "requests/s",
        ),
        Cost(
            "asks at one keeper, three regions keep",
            "1/s",
            1 / 0.15,
            0,
            REQUESTS / GATEWAYS,
            100,
            "requests/s each",
        ),
        Cost("processor of probes, all watched", "ms/s", 0.0063, 0.55, GATEWAYS, CPU_MS, "gatekeepers"),
        Cost("probes: gatekeepers that one watches", "", 1, 0, GATEWAYS, 1024, "gatekeepers"),
        Cost("connections at a worker, two of each", "", 2, 0, GATEWAYS, 99, "gatekeepers"),
    ]


def products() -> None:
    """Costs that grow by a product: rows pushed a second and rows held both grow with the workers."""
    rows = ROWS_OF_A_RESTART * churn(1.0)  # a second for each worker
    per, base = 0.006065 * rows, 12.53 * rows
    target = per * WORKERS**2 + base * WORKERS
    crosses = (-base + math.sqrt(base**2 + 4 * per * CPU_MS)) / (2 * per)
    print(
        f"workers' rows pushed: at_target={target:.4g} ms/s limit={CPU_MS:g} crosses_at={crosses:.4g} workers"
    )
    per_row = 0.006065 / 2 / 400  # of a start in messages of 400 rows
    print(
        f"a start: at_target={per_row * WORKERS**2:.4g} ms crosses_at={math.sqrt(4000 / per_row):.4g} workers"
    )
    core = 0.41 * GATEWAYS / CORES + 10 + 0.27 * WORKERS / 1.5 / CORES + 0.002544 * (WORKERS + GATEWAYS)
    part = CORE_MS / core
    print(f"a core machine, all: at_target={core:.4g} ms/s limit={CORE_MS:g} crosses_at={part:.0%} of it")
    whole = 1378 * WORKERS + 1533 * GATEWAYS + 1822 * ROUTES + 17370 * SERVICES
    for name, size in (("without tenants", whole), ("with tenants", whole + 1687 * TENANTS)):
        part = MEMORY_MB * 1e6 / size
        print(
            f"a gatekeeper's memory, all, {name}: at_target={size / 1e6:.4g} MB crosses_at={part:.2%} of it"
        )


def chosen(told: int, fan_out: int, cache: int, kept_s: float) -> None:
    """With the mechanisms chosen: `told` gatekeepers of a region for each host, `fan_out` children."""
    of_region = GATEWAYS / REGIONS
    part = told / of_region
    services, routes, workers = SERVICES * part, ROUTES * part, WORKERS / REGIONS * part
    memory = (
        1378 * workers + 1822 * routes + 17370 * services + 1687 * cache + 1533 * GATEWAYS / ZONES
    ) / 1e6
    pair = REQUESTS / WORKERS / told
    print(
        f"told={told}: services={services:.0f} routes={routes:.0f} workers={workers:.0f} mb={memory:.1f}"
        f" requests_of_a_pair_a_second={pair:.2f} on_a_warm_connection={1 - math.exp(-pair * kept_s):.1%}"
        f" connections_at_a_worker={told}"
    )
    depth = math.ceil(math.log(GATEWAYS / ZONES * (fan_out - 1) + 1, fan_out)) - 1
    print(
        f"fan_out={fan_out}: depth={depth} ticks_ms_a_second={0.41 * fan_out:.1f}"
        f" keys_bytes_a_second={(fan_out + 1) * 40 * CHANGES:.0f}"
        f" changes_bytes_a_second={(fan_out + 1) * 381 * CHANGES:.0f}"
        f" ticks_at_a_core_machine={ZONES / CORES * 2.5:.1f}"
    )
    spread = math.log(TENANTS) + 0.577
    top = REQUESTS / REGIONS / spread
    often = (math.log(top / told) + 0.577) / spread
    print(f"requests of tenants with one a second and more at a gatekeeper (Zipf, exponent 1): {often:.0%}")


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--told", type=int, nargs="+", default=[8, 16, 32, 64])
    parser.add_argument("--fan-out", type=int, default=16)
    parser.add_argument("--cache", type=int, default=4096, help="tenants that one gatekeeper keeps")
    parser.add_argument("--kept", type=float, default=4.0, help="seconds that a connection is kept idle")
    given = parser.parse_args()
    for cost in today():
        cost.print()
    products()
    for told in given.told:
        chosen(told, given.fan_out, given.cache, given.kept)


if __name__ == "__main__":
    main()
