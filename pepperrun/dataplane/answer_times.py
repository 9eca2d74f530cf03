"""Response times of workers by class of requests, and the time after which an attempt counts as late.

Decides without I/O. The mean of the responses alone would mislead while many requests are still in flight, as
after a start, because the first responses to arrive are the fast ones. So the running time of the attempts in
flight is added to the mean: the total time on test divided by the number of responses is the usual estimate
of a mean from censored times. The more responses there have been, the less that addition weighs.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
LATE_FACTOR = 2.5  # an attempt is late after so many times the mean of its class
MIN_LATE_NS = 100 * MS  # nothing is late sooner: shorter delays come from this process or the network
MIN_ANSWERS = 8  # nothing is late before so many responses are known
MAX_SAMPLE_FACTOR = 3.0  # caps a sample at so many times the mean, so that few slow workers do not raise it
MIN_SAMPLE_WEIGHT = 1 / 32  # of one response in the mean


@dataclass(slots=True)
class AnswerTime:
    """The mean time in nanoseconds of the responses to one class of requests, and their number."""

    mean_ns: float = 0.0
    answers: int = 0

    def add(self, elapsed_ns: int) -> None:
        """Adds the time of one successful response."""
        if self.answers >= MIN_ANSWERS:
            elapsed_ns = min(elapsed_ns, int(MAX_SAMPLE_FACTOR * self.mean_ns))
        self.answers += 1
        self.mean_ns += (elapsed_ns - self.mean_ns) * max(MIN_SAMPLE_WEIGHT, 1 / self.answers)

    def add_cancelled(self, elapsed_ns: int) -> None:
        """Adds the time of an attempt that was cancelled while its worker may have been at work.

        The time adds to the total time on test, but does not count as a response. Long attempts are cancelled
        more often than short ones: without their time the mean would be that of the short ones.
        """
        if self.answers >= MIN_ANSWERS:
            self.mean_ns += min(elapsed_ns, MAX_SAMPLE_FACTOR * self.mean_ns) * max(
                MIN_SAMPLE_WEIGHT, 1 / self.answers
            )

    def late_ns(self, running_ns: int = 0) -> float:
        """Returns the time in ns after which an attempt is late; infinity while too few responses are known.

        Parameters
        ----------
        running_ns
            The sum of the running times of all attempts of this class that are in flight.
        """
        if self.answers < MIN_ANSWERS:
            return float("inf")
        return max(MIN_LATE_NS, LATE_FACTOR * (self.mean_ns + running_ns / self.answers))
