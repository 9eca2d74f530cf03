"""`python -m pepperrun.simulation.conversations`: plays drawn conversations and says what they broke."""

from __future__ import annotations

import argparse
import sys
import time

from pepperrun.simulation.conversations.bugs import BUGS, put_in
from pepperrun.simulation.conversations.cuts import cuts
from pepperrun.simulation.conversations.play import Conversation
from pepperrun.simulation.conversations.scripts import draw_script

EVERY = 1000  # conversations between two lines of progress


def main() -> int:
    """Plays them; 1 if a rule was broken."""
    parser = argparse.ArgumentParser(prog="conversations", description=__doc__)
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--cuts", action="store_true", help="a break after each byte, in place of drawn ones")
    parser.add_argument("--bug", choices=sorted(BUGS), default="", help="put this bug in")
    parser.add_argument("--go-on", action="store_true", help="also after a rule was broken")
    parser.add_argument("--show", action="store_true", help="all that workers and clients saw")
    given = parser.parse_args()
    seeds = range(given.first, given.first + given.count)
    scripts = cuts() if given.cuts else (draw_script(seed) for seed in seeds)
    began, wrong, played, asked, ran = time.monotonic(), 0, 0, 0, 0
    with put_in(given.bug):
        for script in scripts:
            conversation = Conversation(script)
            broken = conversation.play()
            played += 1
            asked += sum(len(one.sent) for one in conversation.record.connections)
            ran += sum(one.ran for one in conversation.seen)
            if given.show:
                show(conversation)
            if broken:
                wrong += 1
                print(f"seed={script.seed} after={played}", *broken, sep="\n  ", flush=True)
                if not given.go_on:
                    break
            if played % EVERY == 0:
                print(f"played={played} wrong={wrong} s={time.monotonic() - began:.0f}", flush=True)
    drawn = "cuts" if given.cuts else f"first={given.first}"
    print(
        f"conversations={played} {drawn} bug={given.bug or 'none'} requests={asked} "
        f"ran={ran} wrong={wrong} s={time.monotonic() - began:.1f}"
    )
    return 1 if wrong else 0


def show(conversation: Conversation) -> None:
    """What was seen, for a reader."""
    record = conversation.record
    for happening in conversation.script.happenings:
        print("happening", happening)
    for seen in record.seen:
        print(
            f"{seen.at:.4f} {seen.worker} {seen.service} ran={seen.ran} status={seen.status} "
            f"{seen.postmark!r} body={len(seen.answer_body)} proper={seen.proper} "
            f"whole_at={seen.whole_at:.4f} {seen.head[:400]!r}"
        )
    for connection in record.connections:
        print(f"connection ended_at={connection.ended_at:.4f}")
        for sent in connection.sent:
            print(f"  sent {sent.at:.4f} whole={sent.whole} gave_up={sent.gave_up} {sent.asked.head!r}")
        answers, left = connection.answers()
        for got in answers:
            print(
                f"  got {got.status} complete={got.complete} {got.fields} {len(got.body)} {got.body[:60]!r}"
            )
        if left:
            print(f"  left {left[:100]!r}")


if __name__ == "__main__":
    sys.exit(main())
