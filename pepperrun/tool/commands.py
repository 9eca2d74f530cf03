"""What the tool does, for both of its command lines."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Iterable
from pathlib import Path

from pepperrun.config import read_auth
from pepperrun.membership.config import membership_from_json, membership_from_table
from pepperrun.membership.keys import generate_key_file
from pepperrun.metrics import read_metrics
from pepperrun.parking.config import KEYS as CLIENTS_KEYS
from pepperrun.parking.config import read_clients
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
    if "key_file" in keys:
        return "members"
    if "graphite" in keys or "collectd" in keys:
        return "metrics"
    return "clients" if any(key in CLIENTS_KEYS.split() for key in keys) else "gatekeeper"


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
    if kind == "clients":
        read_clients(text)
        return kind, []
    if kind == "members":
        found = membership_from_json(text, path.parent)
        if not found.key_file.exists():
            return kind, [f"members.key_file: {found.key_file} is not there yet: `config write` makes one"]
        found.load_keys()
        return kind, []
    members = json.loads(text).get("members")
    if isinstance(members, dict):
        membership_from_table(members, path.parent).load_keys()
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
    members = next((config["members"] for config in configs.values() if "members" in config), None)
    if members is not None:
        key = out / members["key_file"]
        if not key.exists():  # one that is there is in use
            with open(
                os.open(key, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w", encoding="utf-8"
            ) as file:
                file.write(generate_key_file())
            written.append(key)
        membership_from_table(members, out).load_keys()
    return written


def write_files(path: Path, out: Path, as_json: bool = False) -> int:
    """Writes and says so; the exit code."""
    try:
        written = write(path, out)
    except (OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return 2
    if as_json:
        print(json.dumps({"written": [str(target) for target in written]}))
    else:
        print("\n".join(f"wrote {target}" for target in written))
    return 0


def check_files(paths: Iterable[Path], as_json: bool = False) -> int:
    """Checks and says what was found; the exit code: 0 all well, 1 remarks, 2 a file is no good."""
    worst = 0
    found: list[dict[str, object]] = []
    for path in paths:
        try:
            kind, lines = check(path)
        except (OSError, ValueError) as error:
            worst = 2
            found.append({"file": str(path), "error": str(error)})
            if not as_json:
                print(f"{path}: {error}", file=sys.stderr)
            continue
        worst = max(worst, 1 if lines else 0)
        found.append({"file": str(path), "kind": kind, "remarks": lines})
        if not as_json:
            for line in lines:
                print(f"{path}: {line}")
            print(f"{path}: {kind}, {'with remarks' if lines else 'ok'}")
    if as_json:
        print(json.dumps({"files": found}))
    return worst
