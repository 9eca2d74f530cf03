"""The command: `python3 -m pepperrun.tool write` and `check`."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

from pepperrun.config import read_auth
from pepperrun.metrics import read_metrics
from pepperrun.tool.application import configurations, remarks


def kind_of(path: Path, text: str) -> str:
    """What a file is, by what it holds."""
    if path.suffix == ".toml":
        return "application"
    try:
        table = json.loads(text)
    except (ValueError, RecursionError):
        return "gatekeeper"
    keys = table.keys() if isinstance(table, dict) else ()
    if "settings" in keys:
        return "gatekeeper"
    if "servers" in keys or "identity_headers" in keys:
        return "forward authentication"
    return "metrics" if "graphite" in keys or "collectd" in keys else "gatekeeper"


def check(path: Path) -> tuple[str, list[str]]:
    """What a file is and the remarks on it; ValueError where it is no good."""
    text = path.read_text(encoding="utf-8")
    kind = kind_of(path, text)
    if kind == "application":
        lines: list[str] = []
        for name, config in configurations(text).items():
            lines += [f"{name}: {remark}" for remark in remarks(json.dumps(config))]
        return kind, lines
    if kind == "forward authentication":
        auth = read_auth(text)
        unused = [] if auth.listen or auth.asking else ["listen: neither it nor asking_classes is given"]
        return kind, unused
    if kind == "metrics":
        read_metrics(text)
        return kind, []
    return kind, remarks(text)


def write(path: Path, out: Path) -> list[Path]:
    """Writes each gatekeeper's configuration; what was read back is what the program will read."""
    written = []
    configs = configurations(path.read_text(encoding="utf-8"))
    for config in configs.values():
        remarks(json.dumps(config))  # raises where the program would
    out.mkdir(parents=True, exist_ok=True)
    for name, config in configs.items():
        target = out / f"{name}.json"
        if target.parent != out:
            raise ValueError(f"gatekeeper.name: {name!r} is no file name")
        target.write_text(json.dumps(config, indent=1) + "\n", encoding="utf-8")
        written.append(target)
    return written


def main(arguments: list[str]) -> int:
    """Runs a command; 0 if all is well, 1 where there are remarks, 2 where a file is no good."""
    parser = argparse.ArgumentParser(prog="pepperrun.tool", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    writer = commands.add_parser(
        "write", help="write each gatekeeper's configuration from an application's file"
    )
    writer.add_argument("application", type=Path, help="the application's file (TOML)")
    writer.add_argument(
        "--out", type=Path, default=Path("config"), help="the folder to write to (%(default)s)"
    )
    checker = commands.add_parser(
        "check", help="check application, gatekeeper, forward-auth and metrics files"
    )
    checker.add_argument("files", type=Path, nargs="+")
    options = parser.parse_args(arguments)
    worst = 0
    for path in [options.application] if options.command == "write" else options.files:
        try:
            if options.command == "write":
                print("\n".join(f"wrote {target}" for target in write(path, options.out)))
                continue
            kind, lines = check(path)
        except (OSError, ValueError) as error:
            print(f"{path}: {error}", file=sys.stderr)
            worst = 2
            continue
        for line in lines:
            print(f"{path}: {line}")
        worst = max(worst, 1 if lines else 0)
        print(f"{path}: {kind}, {'with remarks' if lines else 'ok'}")
    return worst


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
