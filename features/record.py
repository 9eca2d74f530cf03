"""Writes down what this version says: `python3 features/record.py features/recorded/NAME.json`.

To be run when a version is released, so that the next one is played against it. Nothing in it is made up:
each frame comes from the code as it stands.
"""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent), str(Path.cwd())]

import playing  # noqa: E402


def samples(messages, kind):
    """The first message of each kind with the same fields."""
    found = {}
    for one in messages:
        found.setdefault((one[kind], *sorted(one)), one)
    return list(found.values())


def recorded():
    """All protocols."""
    cluster = playing.ConsensusCluster()
    cluster.propose(playing.CORES[0], playing.read_replace(playing.body(playing.configuration()), 0))
    cluster.run(3000)
    cluster.replicas[playing.CORES[0]].request_stop(cluster.now)
    cluster.run(500)
    link = playing.link(playing.LinkUser())
    with tempfile.TemporaryDirectory() as folder:
        disk = playing.recorded_disk(folder)
    return {
        "hello": link.transport.written.decode(),
        "news": playing.FollowerExchange().log,
        "cells": samples([message for _, message in playing.registry_exchange()[1]], "k"),
        "queen": samples(cluster.log, "t"),
        "scouts": playing.probe_exchange()[1],
        "hum": playing.PeerMessagesPair().log,
        "shown": playing.inspection_replies(),
        "wax": disk,
    }


if __name__ == "__main__":
    text = json.dumps(recorded(), indent=None, separators=(",", ":"))
    Path(sys.argv[1]).write_text(text.replace('],["', '],\n["').replace('},{"k"', '},\n{"k"') + "\n")
