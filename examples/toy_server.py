"""A toy worker and a toy authentication server, to try the gatekeeper with.

python3 examples/toy_server.py 9001            answers every request after a little work
python3 examples/toy_server.py 9091 --auth     grants a request that bears `Authorization: Bearer NAME`
"""

import argparse
import json
import random
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Worker(BaseHTTPRequestHandler):
    """Says what it was asked; a tenth of the requests count two units."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length", "0")))
        time.sleep(random.uniform(0.01, 0.05))
        body = json.dumps({"path": self.path, "user": self.headers.get("X-Auth-User")}) + "\n"
        self.reply(200, body, {"X-Units-Charged": "2" if random.random() < 0.1 else "1"})

    do_POST = do_GET

    def reply(self, status: int, body: str, fields: dict[str, str]) -> None:
        data = body.encode()
        self.send_response(status)
        for name, value in fields.items():
            self.send_header(name, value)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Auth(Worker):
    """Who bears a name gets in under that name."""

    def do_GET(self) -> None:
        kind, _, name = self.headers.get("Authorization", "").partition(" ")
        if kind == "Bearer" and name.isalnum():
            self.reply(200, "", {"X-Auth-User": name})
        else:
            self.reply(401, '{"error": "who are you?"}\n', {"WWW-Authenticate": "Bearer"})


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("port", type=int)
    parser.add_argument("--auth", action="store_true", help="be an authentication server")
    options = parser.parse_args()
    with ThreadingHTTPServer(("127.0.0.1", options.port), Auth if options.auth else Worker) as server:
        print(f"listens at 127.0.0.1:{server.server_port}", flush=True)
        server.serve_forever()
