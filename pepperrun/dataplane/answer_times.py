"""How long answers take, by class of requests, and from when on an attempt counts as late.

The deciding half, without I/O. Answers alone would mislead wherever many requests are still out, as after a
start: the first ones to come are the quick ones. So the mean has the time of what still runs added to it, as
total time on test over the number of answers is the usual estimate of a mean from censored times. The more
answers there have been, the less that weighs.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
LATE = 2.5  # an attempt is late past so many times the mean of its class
LEAST_LATE_NS = 100 * MS  # and never before: shorter ones are waits of this process or of the network
LEAST_ANSWERS = 8  # before so many are known nothing is late
LONGEST = 3.0  # times the mean: longer answers count as that, so that a few slow workers do not hide
WEIGHT = 1 / 32  # of one answer in the mean, at the least


@dataclass(slots=True)
class AnswerTime:
    """The answers to one class of requests: their mean time in nanoseconds, and how many there have been."""

    mean_ns: float = 0.0
    answers: int = 0

    def add(self, elapsed_ns: int) -> None:
        """Take in one good answer."""
        if self.answers >= LEAST_ANSWERS:
            elapsed_ns = min(elapsed_ns, int(LONGEST * self.mean_ns))
        self.answers += 1
        self.mean_ns += (elapsed_ns - self.mean_ns) * max(WEIGHT, 1 / self.answers)

    def add_cancelled(self, elapsed_ns: int) -> None:
        """Take in the time of an attempt that was given up while its worker may have been at work.

        It adds to the total time on test and not to the answers. Long attempts are given up more often than
        quick ones: without their time the mean would be that of the quick ones.
        """
        if self.answers >= LEAST_ANSWERS:
            self.mean_ns += min(elapsed_ns, LONGEST * self.mean_ns) * max(WEIGHT, 1 / self.answers)

    def late_ns(self, running_ns: int = 0) -> float:
        """Return the time past which an attempt is late; infinity while too few answers are known.

        Parameters
        ----------
        running_ns
            The times of all attempts of this class that are still out, added up.
        """
        if self.answers < LEAST_ANSWERS:
            return float("inf")
        return max(LEAST_LATE_NS, LATE * (self.mean_ns + running_ns / self.answers))
