"""Scripts of conversations, drawn from a seed: requests, how they are sent, worker replies, other events.

Headers and keys that the checks rely on:

- Postmark: a value in the response to each run, by which the checks find the run; some replies leave it out.
- Sender: the tenant's name, which the gateway sets from the key of the request (none on the route `open`);
  one from a client is dropped.
- Stamp: a key that a client sends as `Authorization: Token KEY`; `KEYS` has the tenant of each.
- Attempt-Id: the id of a request, which a worker's reply repeats unless a fault is drawn.
- Not-Run: a worker's promise that it has not run the request.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

HOST_NAME = b"h.example"
KEYS = {b"stamp-ann-1": b"ann", b"stamp-ann-2": b"ann", b"stamp-bob-1": b"bob"}
UNKNOWN_KEY = b"stamp-nobody"
SMUGGLED = b"smuggled"
ROUTES = {b"/safe/": "safe", b"/once/": "once", b"/open/": "open", b"/split/": "split", b"/none/": "none"}
UNSAFE_ROUTES = ("once", "split")
LONG_BODY_BYTES = 70_000  # more than is buffered of a body

Headers = list[tuple[bytes, bytes]]


@dataclass
class RequestSpec:
    """A request as its client intends it, and the bytes sent for it."""

    id: bytes
    method: bytes
    target: bytes
    route: str
    key: bytes | None
    body: bytes
    head: bytes
    framed_body: bytes  # the body with its framing
    malformed: bool = False  # ambiguous or unparsable: no worker may run it
    deadline_ms: int = 2000
    expects_continue: bool = False

    @property
    def raw(self) -> bytes:
        """Returns all bytes of the request."""
        return self.head + self.framed_body

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.route not in UNSAFE_ROUTES


@dataclass
class ClientStep:
    """One request of a client's script. `interrupt_at`: bytes after which the client breaks off."""

    spec: RequestSpec
    pause_s: float = 0.0
    pipelined: bool = False
    new_connection: bool = False
    split_offsets: tuple[int, ...] = ()
    split_pause_s: float = 0.0
    interrupt_at: int | None = None
    interrupt_kind: str = "reset"
    interrupt_delay_s: float = 0.0  # between the last byte sent and the break


@dataclass
class ReplySpec:
    """How a worker treats one request.

    `kind` is `answer` (runs the request and responds), `not-run` (rejects the request without running it) or
    `silence` (runs the request and sends nothing).
    """

    kind: str = "answer"  # answer | not-run | silence
    status: int = 200
    headers: Headers = field(default_factory=list)
    size: int = 10
    framing: str = "length"  # length | chunks | end | bad-chunks | longer | shorter
    id: str = "own"  # own | none | other
    postmark: bool = True
    split_offsets: tuple[int, ...] = ()
    delay_s: float = 0.0
    interrupt_at: int | None = None  # bytes of the response after which the worker breaks off
    interrupt_kind: str = "reset"
    # Bytes of the request after which the worker resets the connection; nothing runs.
    interrupt_request_at: int | None = None
    resend_previous: bool = False  # sends the previous response again, right before this one
    surplus: bytes = b""
    surplus_delay_s: float = 0.0
    close: bool = False
    idle_close_s: float = -1.0
    early: bool = False  # answers before the body is complete


@dataclass
class ScriptedEvent:
    """A change around the conversation.

    - freeze: the gateway's event loop stops for `duration_s`.
    - drain: the gateway begins to drain, as at SIGTERM.
    - reread: the gateway reloads its settings, which are unchanged.
    - move: the route `once` moves to another service.
    - revoke: a tenant and its keys are removed from the configuration.
    - restart: a worker is stopped and a new one of the same service starts at its address.
    - hand-on: the same, but the new worker is of the other service.
    """

    at_s: float
    kind: str  # freeze | drain | reread | move | revoke | restart | hand-on
    duration_s: float = 0.0
    notify_delay_s: float = 0.0  # delay until the data plane is notified


@dataclass
class Script:
    """The script of a conversation."""

    seed: int
    clients: list[list[ClientStep]]
    events: list[ScriptedEvent] = field(default_factory=list)
    replies: list[ReplySpec] | None = None  # in order, then default replies; None: drawn


def _chunked(rng: random.Random, body: bytes) -> bytes:
    out, at = [], 0
    while at < len(body):
        size = rng.choice((1, 7, 500, 9000, 40_000))
        piece = body[at : at + size]
        out.append(b"%x%b\r\n%b\r\n" % (len(piece), rng.choice((b"", b"", b";a=b")), piece))
        at += size
    return b"".join(out) + b"0\r\n\r\n"


def _smuggled_request(number: int) -> bytes:
    """Returns a request to embed in another request's body."""
    lines = b"GET /once/in HTTP/1.1\r\nHost: %b\r\nAttempt-Id: %b-%d\r\n" % (HOST_NAME, SMUGGLED, number)
    return lines + b"Authorization: Token stamp-ann-1\r\n\r\n"


def _unusual_fields(rng: random.Random) -> Headers:
    """Draws well-formed fields that a worker must not receive, or must receive unchanged."""
    return rng.choice(
        (
            [(b"Sender", b"eve")],
            [(b"sEnDeR", b"eve"), (b"SENDER", b"eve")],
            [(b"Expect-Worker", b"w9")],
            [(b"Connection", b"host")],
            [(b"Connection", b"Attempt-Id, keep-alive")],
            [(b"Connection", b"authorization, deadline-ms")],
            [(b"Keep-Alive", b"timeout=1")],
            [(b"X-Mixed-CASE", b"  spaced  ")],
            [(b"Postmark", b"forged.0")],
            [(b"Not-Run", b"1")],
            [(b"Authorization", b"Token stamp-bob-1")],
            [(b"TE", b"trailers"), (b"Upgrade", b"websocket")],
        )
    )


def _malform(rng: random.Random, spec: RequestSpec, number: int) -> None:
    """Makes the request unparsable or ambiguous, with a smuggled request behind it."""
    smuggled = _smuggled_request(number)
    start, _, rest = spec.head.partition(b"\r\n")
    bare = rest.replace(b"Content-Length: %d\r\n" % len(spec.body), b"").replace(
        b"Transfer-Encoding: chunked\r\n", b""
    )
    fields = bare[:-2]
    tails = (
        b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"Content-Length: 0\r\nContent-Length: %d\r\n\r\n" % len(smuggled),
        b"Content-Length: 0, 0\r\n\r\n",
        b"Content-Length: +0\r\n\r\n",
        b"Content-Length: 0x0\r\n\r\n",
        b"Content-Length : 0\r\n\r\n",
        b"Transfer-Encoding: xchunked\r\n\r\n",
        b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        b"X-Folded: a\r\n Content-Length: 5\r\n\r\n",
        b"Sender : eve\r\n\r\n",
        b"X-Bare: a\nContent-Length: 5\r\n\r\n",
        b"X-Nul: a\x00b\r\n\r\n",
        b"Host: other.example\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nhelloworld\r\n0\r\n\r\n",
    )
    spec.malformed, spec.body = True, b""
    if rng.random() < 0.15:  # parsable but contradictory: bytes behind it would be a separate request
        duplicate = rng.choice((b"Attempt-Id: second\r\n\r\n", b"Deadline-Ms: soon\r\n\r\n"))
        spec.head, spec.framed_body = start + b"\r\n" + fields + duplicate, b""
    else:
        spec.head, spec.framed_body = start + b"\r\n" + fields + rng.choice(tails), smuggled


def draw_request(rng: random.Random, conversation: int, number: int) -> RequestSpec:
    """Draws a request with its fields, body and framing."""
    id = b"i%d-%d" % (conversation, number)
    method = rng.choice((b"GET", b"GET", b"POST", b"PUT", b"HEAD", b"DELETE"))
    prefix = rng.choices(list(ROUTES), (5, 8, 2, 2, 1))[0]
    target = prefix + rng.choice((b"a", b"A/b?q=%2F&x=/..", b"%41//b", b"", b"a?" + b"z" * 300, b";p=1"))
    if rng.random() < 0.03:
        target = b"http://" + HOST_NAME + target
    route = ROUTES[prefix] if target.startswith(b"/") else "none"
    key = rng.choice((*KEYS, *KEYS, *KEYS, UNKNOWN_KEY, None))
    deadline_ms = rng.choice((300, 1500, 2000, 4000))
    body = b""
    if method in (b"POST", b"PUT") or method == b"DELETE" and rng.random() < 0.3:
        size = rng.choice((0, 1, 40, 3000, 3000, LONG_BODY_BYTES, 200_000))
        body = (_smuggled_request(number) + bytes(rng.choices(b"abc\r\n0 ", k=100)) + b"b" * size)[:size]
    fields: Headers = [(b"Host", HOST_NAME), (b"Attempt-Id", id), (b"Deadline-Ms", b"%d" % deadline_ms)]
    if key is not None:
        fields.append((b"Authorization", b"Token " + key))
    rng.shuffle(fields)
    spec = RequestSpec(id, method, target, route, key, body, b"", body, deadline_ms=deadline_ms)
    if body and rng.random() < 0.1:
        fields.append((b"Expect", b"100-continue"))
        spec.expects_continue = True
    if rng.random() < 0.15:
        unusual = _unusual_fields(rng)
        if key is not None or unusual[0][0] != b"Authorization":
            fields += unusual
    if body and rng.random() < 0.4:
        fields.append((b"Transfer-Encoding", b"chunked"))
        spec.framed_body = _chunked(rng, body)
    elif body or method != b"GET":
        fields.append((b"Content-Length", b"%d" % len(body)))
    if rng.random() < 0.04:
        fields.append((b"Connection", b"close"))
    lines = b"".join(b"%b: %b\r\n" % pair for pair in fields)
    spec.head = b"%b %b HTTP/1.1\r\n%b\r\n" % (method, target, lines)
    if rng.random() < 0.04:
        _malform(rng, spec, number)
    return spec


def _draw_split_offsets(rng: random.Random, length: int) -> tuple[int, ...]:
    if length < 2 or rng.random() < 0.7:
        return ()
    near = min(length - 1, 600)  # splits matter most inside the head
    return tuple(sorted({rng.randint(1, near if rng.random() < 0.8 else length - 1) for _ in range(3)}))


def draw_step(rng: random.Random, conversation: int, number: int) -> ClientStep:
    """Draws a request and how its client sends it."""
    step = ClientStep(draw_request(rng, conversation, number))
    length = len(step.spec.raw)
    step.pause_s = rng.choice((0.0, 0.0, 0.0, 0.002, 0.3, 1.1, 3.9, 4.0, 4.8, 5.0))
    step.pipelined = rng.random() < 0.3
    step.new_connection = rng.random() < 0.2
    step.split_offsets = _draw_split_offsets(rng, length)
    step.split_pause_s = rng.choice((0.0, 0.001, 0.05, 0.9))
    if rng.random() < 0.12:
        step.interrupt_at = rng.randint(0, length if rng.random() < 0.3 else min(length, 500))
        if step.spec.method == b"HEAD":  # before the method is complete, the response may have a body
            step.interrupt_at = max(step.interrupt_at, len(b"HEAD "))
        step.interrupt_kind = rng.choice(("reset", "close", "half", "silence"))
    return step


_SURPLUS = (
    b"garbage\r\n",
    b"\r\n",
    b"HTTP/1.1 200 OK\r\nPostmark: surplus.0\r\nContent-Length: 5\r\n\r\nextra",
    b"HTTP/1.1 200 OK\r\nPostmark: surplus.0\r\nAttempt-Id: unknown\r\nContent-Length: 5\r\n\r\nextra",
    b"HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 500 No\r\nPostmark: surplus.0\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 200",
)


def draw_reply(rng: random.Random) -> ReplySpec:
    """Draws a worker's reply, with at most two faults."""
    reply = ReplySpec(size=rng.choice((0, 1, 10, 10, 2000, 9000, LONG_BODY_BYTES, 300_000)))
    reply.framing = rng.choice(("length", "length", "chunks"))
    reply.delay_s = rng.choice((0.0, 0.0, 0.0, 0.01, 0.3, 1.0))
    if rng.random() < 0.4:
        reply.split_offsets = tuple(sorted({rng.randint(1, 400), rng.randint(1, 20_000)}))
    for _ in range(rng.choice((0, 0, 1, 1, 1, 2))):
        _add_fault(rng, reply)
    if reply.framing in ("longer", "bad-chunks"):
        reply.surplus = b""  # surplus bytes would be read as the rest of the body
    return reply


def _add_fault(rng: random.Random, reply: ReplySpec) -> None:
    match rng.randrange(18):
        case 0:
            reply.status = rng.choice((201, 204, 302, 304, 400, 404, 408, 429, 500, 502, 503, 504))
        case 1:
            reply.kind, reply.status = "not-run", rng.choice((503, 503, 429, 421, 400, 408))
        case 2:
            reply.kind = "silence"
        case 3 | 4:
            reply.interrupt_at = rng.choice((0, rng.randint(0, 250), rng.randint(0, reply.size + 250)))
            reply.interrupt_kind = rng.choice(("reset", "close", "silence"))
        case 5:
            reply.interrupt_request_at = rng.randint(0, rng.choice((20, 400, 100_000)))
        case 6 | 7:
            reply.resend_previous = True
        case 8 | 9 | 10:
            reply.surplus = rng.choice(_SURPLUS)
            reply.surplus_delay_s = rng.choice((0.0, 0.0, 0.0005, 0.002, 0.3, 1.0))
        case 11:
            reply.id = rng.choice(("none", "other"))
        case 12:
            reply.framing = rng.choice(("end", "bad-chunks", "longer", "shorter"))
        case 13:
            reply.headers.append((b"Content-Encoding", b"gzip"))
        case 14:
            reply.close = True
        case 15:
            reply.idle_close_s = rng.choice((0.0, 0.0005, 0.2, 1.0, 3.0))
        case 16:
            names = (b"Postmark", b"attempt-id", b"content-length", b"x-other, postmark")
            reply.headers.append((b"Connection", rng.choice(names)))
        case 17:
            reply.postmark = rng.random() < 0.5
            reply.early = not reply.postmark


def draw_event(rng: random.Random) -> ScriptedEvent:
    """Draws an event."""
    kinds = ("freeze", "drain", "reread", "move", "revoke", "restart", "restart", "hand-on", "hand-on")
    at_s, kind = rng.choice((0.0, 0.005, 0.3, 1.0, 4.0)), rng.choice(kinds)
    return ScriptedEvent(at_s, kind, rng.choice((0.5, 2.0, 6.0, 20.0)), rng.choice((0.0, 0.2, 3.0)))


def draw_script(seed: int) -> Script:
    """Draws the script of a conversation from its seed."""
    rng = random.Random(seed)
    number, clients = 0, []
    for _ in range(rng.choice((1, 1, 2, 3))):
        steps = []
        for _ in range(rng.choice((1, 2, 3, 4, 6))):
            steps.append(draw_step(rng, seed, number))
            number += 1
        clients.append(steps)
    events = [draw_event(rng) for _ in range(rng.choice((0, 0, 1, 1, 2)))]
    return Script(seed, clients, sorted(events, key=lambda one: one.at_s))
