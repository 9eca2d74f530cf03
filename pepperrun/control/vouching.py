"""Who hears whom: a core machine vouches for the workers and gatekeepers whose beats it gets until it tells
that it no longer does. One short message a second stands for all beats in it.
"""

from __future__ import annotations

from pepperrun.foundation.netstring import Message

MS = 1_000_000
GUARD_QUIET = 900 * MS  # a gatekeeper speaks far more often than a worker


class Vouching:
    """Ids as `record_id` gives them. `quiet`: ns without a beat, then one vouches for a worker no longer."""

    def __init__(self, quiet: int, now: int) -> None:
        self.quiet = quiet
        self.heard: dict[str, int] = {}  # heard here, and when last; these are vouched for
        self.seen: dict[str, int] = {}  # when anyone last heard it, as far as is known
        self.by: dict[str, set[str]] = {}  # whom others vouch for, by ip
        self.new: list[str] = []  # heard, not told yet

    def hear(self, id: str, now: int) -> None:
        """A beat came here."""
        if id not in self.heard:
            self.new.append(id)
        self.heard[id] = self.seen[id] = now

    def known(self, id: str, there: bool, now: int) -> None:
        """A newer record of it came. Who says that it is `there` heard it lately, or will find it silent."""
        self.seen[id] = now if there else self.seen.get(id, now)

    def hears(self, id: str, now: int) -> bool:
        """Are its beats coming here?"""
        return now - self.heard.get(id, -1 << 62) < self._quiet(id)

    def _quiet(self, id: str) -> int:
        return GUARD_QUIET if id.startswith("g:") else self.quiet

    def last(self, id: str, now: int) -> int:
        """When it was last heard by anyone, as far as is known here."""
        return self.seen.get(id, now)

    def forget(self, id: str) -> None:
        """Its record is gone."""
        self.seen.pop(id, None)

    def all(self, now: int) -> Message:
        """For a machine that has just been linked: everyone, with the ms since each was heard."""
        return {"k": "vouch", "all": [[id, (now - at) // MS] for id, at in self.heard.items()]}

    def round(self, now: int) -> Message:
        """What there is to tell each second."""
        silent = [id for id, at in self.heard.items() if now - at > self._quiet(id)]
        message: Message = {"k": "vouch"}
        if silent:
            message["del"] = [[id, (now - self.heard.pop(id)) // MS] for id in silent]
        return message | self.added()

    def added(self) -> Message:
        """Who is heard since this was asked last; as short a message as there is where nobody is."""
        new, self.new = [id for id in self.new if id in self.heard], []
        return {"k": "vouch", "add": new} if new else {"k": "vouch"}

    def told(self, ip: str, message: Message, now: int) -> None:
        """Another core machine's word."""
        ids = self.by.setdefault(ip, set())
        if "all" in message:
            ids.clear()
            for id, age in message["all"]:
                ids.add(id)
                self._saw(id, now - int(age) * MS)
        ids.update(message.get("add", ()))
        for id, age in message.get("del", ()):
            ids.discard(id)
            at = now - int(age) * MS
            if not any(id in others for others in self.by.values()):
                self.seen[id] = max(self.heard.get(id, 0), at)  # what had been told in between was too much
        for id in ids:
            self.seen[id] = max(self.seen.get(id, 0), now)

    def _saw(self, id: str, at: int) -> None:
        self.seen[id] = max(self.seen.get(id, 0), at)

    def left(self, ip: str) -> None:
        """No link to it any more: it vouches for nobody."""
        self.by.pop(ip, None)
