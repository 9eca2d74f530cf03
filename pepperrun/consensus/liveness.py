"""Who of the core is up, as one machine hears it; who is silent, as a majority of the voters hears it."""

from __future__ import annotations

from typing import NamedTuple

from pepperrun.consensus.values import Life, Value


class Opinion(NamedTuple):
    """A voter's: that keeper is silent."""

    life: str
    keeper: str
    at: int


class Hearing:
    """Links and the times of the last messages, steady ns."""

    def __init__(self, me: str, life: str, zone: str, now: int) -> None:
        self.me, self.life, self.since = me, life, now
        self.zones = {me: zone}
        self.links: set[str] = set()
        self.heard: dict[str, int] = {}
        self.answered: dict[str, int] = {}  # when the last question was asked that it has answered
        self.lives: dict[str, str] = {}  # as the machines themselves told last
        self.opinions: dict[str, Opinion] = {}

    def connected(self, ip: str, zone: str, now: int) -> None:
        """A link is up."""
        self.links.add(ip)
        self.zones[ip], self.heard[ip] = zone, now
        self.answered.pop(ip, None)  # a hello may have been sent before anything of this machine got there

    def disconnected(self, ip: str) -> None:
        """It is gone; when it was heard last still counts for how long it has been lost."""
        self.links.discard(ip)

    def message(self, ip: str, life: str | None, now: int) -> None:
        """A machine was heard."""
        self.heard[ip] = now
        if life is not None:
            self.lives[ip] = life

    def answer(self, ip: str, asked_at: int) -> None:
        """A machine answered a question that was asked then: messages passed both ways since."""
        self.answered[ip] = max(asked_at, self.answered.get(ip, asked_at))

    def thawed(self, now: int) -> None:
        """This process stood still: it can't say of anybody that it was silent."""
        self.since = now
        self.opinions.clear()
        for ip in self.links:
            self.heard[ip] = now
            if ip in self.answered:
                self.answered[ip] = now

    def silence(self, ip: str, now: int) -> int:
        """For how long nothing came from it; 0 for this machine."""
        return 0 if ip == self.me else now - max(self.heard.get(ip, self.since), self.since)

    def up(self, now: int, within: int) -> dict[str, str]:
        """The machines that are linked and were heard lately, with their lives (empty: not told yet)."""
        ups = {ip: self.lives.get(ip, "") for ip in self.links if self.silence(ip, now) <= within}
        return ups | {self.me: self.life}

    def reached(self, now: int, within: int) -> dict[str, str]:
        """Those of `up` that answered a question lately (voters are asked): messages pass both ways."""
        return {
            ip: life
            for ip, life in self.up(now, within).items()
            if ip == self.me or (ip in self.answered and now - self.answered[ip] <= within)
        }

    def agreed_silent(self, value: Value, own: bool, now: int, within: int) -> bool:
        """Do those that decide say that the keeper is silent?"""
        lives = [
            Life(ip, one.life)
            for ip, one in self.opinions.items()
            if one.keeper == value.keeper and now - one.at <= within
        ]
        return value.quorum([*lives, Life(self.me, self.life)] if own else lives)
