"""Builds and starts by the deploy file with a configuration, reads one answer over a socket, and ends it."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import tomllib
import urllib.request

settings = {
    "Me": 0,
    "ReplicasOfMe": 1,
    "Classes": [
        {"Name": "c", "OnTimeNs": 10**9, "DeadlineNs": 10**9, "Semantics": "read_like", "Group": "all"}
    ],
    "Tariffs": [{"Name": "p", "Refill": 1.0, "StoreSize": 1.0}],
}
config = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "settings": settings}
with open("deploy/balancer.toml", "rb") as deploy:
    commands = tomllib.load(deploy)
run = commands["run"]
subprocess.run(["/bin/sh", "-c", commands["build"]], check=True, timeout=600)
with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
    json.dump(config, file)
    file.flush()
    program = subprocess.Popen(
        ["/bin/sh", "-c", run], env=os.environ | {"NODE_CONFIG": file.name}, stderr=subprocess.PIPE, text=True
    )
    assert program.stderr is not None
    try:
        line = next(line for line in program.stderr if "listens at" in line)
        port = int(line.rsplit(":", 1)[1])
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/ready", timeout=10) as answer:
            print("the real program answers", answer.status, answer.read().decode().strip())
    finally:
        program.send_signal(signal.SIGTERM)
        code = program.wait(timeout=20)
if code != 0:
    sys.exit(f"the real program ended with {code}")
