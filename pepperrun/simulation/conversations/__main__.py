"""`python -m pepperrun.simulation.conversations`: runs drawn conversations and prints violated rules."""

from __future__ import annotations

import argparse
import sys
import time

from pepperrun.simulation.conversations.bugs import BUGS, injected_bug
from pepperrun.simulation.conversations.conversation import Conversation
from pepperrun.simulation.conversations.interruptions import all_interruptions
from pepperrun.simulation.conversations.scripts import draw_script

PROGRESS_INTERVAL = 1000  # conversations per progress line


def main() -> int:
    """Runs the conversations that the flags select. Returns 1 if a rule was violated, else 0."""
    parser = argparse.ArgumentParser(prog="conversations", description=__doc__)
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument(
        "--cuts",
        action="store_true",
        help="run the conversations that break off after each byte instead of drawn ones",
    )
    parser.add_argument("--bug", choices=sorted(BUGS), default="", help="run with this bug injected")
    parser.add_argument("--go-on", action="store_true", help="continue after a violated rule")
    parser.add_argument(
        "--show", action="store_true", help="print everything that workers and clients received"
    )
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.count)
    scripts = all_interruptions() if arguments.cuts else (draw_script(seed) for seed in seeds)
    started_at, failed, played, requests, ran = time.monotonic(), 0, 0, 0, 0
    with injected_bug(arguments.bug):
        for script in scripts:
            conversation = Conversation(script)
            violations = conversation.run()
            played += 1
            requests += sum(len(connection.sent_requests) for connection in conversation.record.connections)
            ran += sum(received.ran for received in conversation.received)
            if arguments.show:
                show(conversation)
            if violations:
                failed += 1
                print(f"seed={script.seed} after={played}", *violations, sep="\n  ", flush=True)
                if not arguments.go_on:
                    break
            if played % PROGRESS_INTERVAL == 0:
                print(f"played={played} wrong={failed} s={time.monotonic() - started_at:.0f}", flush=True)
    selection = "cuts" if arguments.cuts else f"first={arguments.first}"
    print(
        f"conversations={played} {selection} bug={arguments.bug or 'none'} requests={requests} "
        f"ran={ran} wrong={failed} s={time.monotonic() - started_at:.1f}"
    )
    return 1 if failed else 0


def show(conversation: Conversation) -> None:
    """Prints what workers received and what clients sent and received."""
    record = conversation.record
    for event in conversation.script.events:
        print("happening", event)
    for received in record.received:
        print(
            f"{received.received_at:.4f} {received.worker} {received.service} ran={received.ran} "
            f"status={received.status} "
            f"{received.postmark!r} body={len(received.response_body)} valid={received.valid} "
            f"completed_at={received.completed_at:.4f} {received.head[:400]!r}"
        )
    for connection in record.connections:
        print(f"connection ended_at={connection.ended_at:.4f}")
        for sent in connection.sent_requests:
            print(
                f"  sent {sent.sent_at:.4f} complete={sent.complete} abandoned={sent.abandoned} "
                f"{sent.spec.head!r}"
            )
        responses, leftover = connection.responses()
        for response in responses:
            print(
                f"  got {response.status} complete={response.complete} {response.fields} "
                f"{len(response.body)} {response.body[:60]!r}"
            )
        if leftover:
            print(f"  left {leftover[:100]!r}")


if __name__ == "__main__":
    sys.exit(main())
