"""A hierarchical timer wheel over small numbers (Varghese and Lauck 1987, scheme 7).

Insert, cancel and each step of firing are O(1). It differs from the textbook in one thing: a slot whose time
has come is not cascaded or fired there and then, but poured whole (four links) onto a ring of what is to be
looked at, from which `take` works off a bounded number. So 100,000 timers in one slot stall nobody, whether
they fire together or have to move to a finer level together.
"""

from __future__ import annotations

from array import array

from pepperrun.parking.rings import Rings

BITS = 6
SLOTS = 1 << BITS
LEVELS = 4
PENDING = LEVELS * SLOTS  # the ring of what is to be looked at
AGAIN = PENDING + 1  # and of what is to be handed out whether it is due or not
TICK_BITS = 24  # a tick is 2^24 ns, 16.8 ms; the top level reaches 78 hours, and what is later goes round
REACH = 1 << (BITS * LEVELS)


class Wheel:
    """Timers by key, one each. Times are nanoseconds on any clock; one that steps back is waited for."""

    __slots__ = ("_due", "_levels", "_rings", "count", "tick")

    def __init__(self, now: int) -> None:
        self._rings = Rings(AGAIN + 1)
        self._due = array("q")
        self._levels = [0] * LEVELS  # a bit for each slot that holds something
        self.tick = now >> TICK_BITS
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def grow(self, keys: int) -> None:
        """Makes room for the keys below `keys`."""
        self._rings.grow(keys)
        if keys > len(self._due):
            self._due.extend(array("q", [0]) * (keys - len(self._due)))

    def due(self, key: int) -> int | None:
        """When the key's timer falls due; None where it has none."""
        return self._due[key] if self._rings.held(key) else None

    def insert(self, key: int, due: int) -> None:
        """Sets the key's timer, in place of the one that it had."""
        if self._rings.held(key):
            self.cancel(key)
        self._due[key] = due
        self.count += 1
        self._place(key, due)

    def cancel(self, key: int) -> None:
        """Takes the key's timer away, if it has one."""
        if not self._rings.held(key):
            return
        self.count -= 1
        emptied = self._rings.remove(key)
        if 0 <= emptied < PENDING:
            self._levels[emptied >> BITS] &= ~(1 << (emptied & (SLOTS - 1)))

    def _place(self, key: int, due: int) -> None:
        tick = -(-due >> TICK_BITS)  # rounded up: none fires early
        wait = tick - self.tick
        if wait <= 0:
            self._rings.append(PENDING, key)
            return
        if wait >= REACH:
            wait, tick = REACH - 1, self.tick + REACH - 1
        level = (wait.bit_length() - 1) // BITS
        slot = (tick >> (level * BITS)) & (SLOTS - 1)
        self._levels[level] |= 1 << slot
        self._rings.append(level * SLOTS + slot, key)

    def advance(self, now: int) -> None:
        """Moves on to now: the slots passed are looked at by `take`. At most 256 steps, however far."""
        new, old = now >> TICK_BITS, self.tick
        if new <= old:
            return
        self.tick = new
        for level in range(LEVELS):
            first, last = old >> (level * BITS), new >> (level * BITS)
            if first == last:
                return
            used = self._levels[level]
            for number in range(first + 1, min(last, first + SLOTS) + 1):
                slot = number & (SLOTS - 1)
                if used >> slot & 1:
                    used &= ~(1 << slot)
                    self._rings.pour(level * SLOTS + slot, PENDING)
            self._levels[level] = used

    def take(self, now: int, most: int) -> list[int]:
        """Looks at up to `most` timers whose slot has passed; the keys that are due, which have none now.

        After `restart` those that were set then come first, due or not.
        """
        fired: list[int] = []
        rings = self._rings
        while len(fired) < most and (key := rings.first(AGAIN)) >= 0:
            rings.remove(key)
            self.count -= 1
            fired.append(key)
        for _ in range(most - len(fired)):
            key = rings.first(PENDING)
            if key < 0:
                break
            rings.remove(key)
            due = self._due[key]
            # With a clock that has stepped back a timer may be ahead of a tick that is already past.
            if due <= now:
                self.count -= 1
                fired.append(key)
            elif -(-due >> TICK_BITS) <= self.tick:
                self.tick = min(self.tick, now >> TICK_BITS)
                self._place(key, due)
            else:
                self._place(key, due)
        return fired

    def pending(self) -> bool:
        """Is there something for `take` to look at now?"""
        return self._rings.first(PENDING) >= 0 or self._rings.first(AGAIN) >= 0

    def restart(self) -> None:
        """Every timer is handed out by `take`, to be set anew: what they count from has changed."""
        self._rings.pour(PENDING, AGAIN)
        for level in range(LEVELS):
            used, self._levels[level] = self._levels[level], 0
            for slot in range(SLOTS):
                if used >> slot & 1:
                    self._rings.pour(level * SLOTS + slot, AGAIN)

    def wake(self) -> int | None:
        """When to `advance` next, in nanoseconds, at the first due tick or sooner; None if nothing is set."""
        if self.pending():
            return 0  # at once; a clock that has stepped back may be far from this tick
        ticks = []
        for level in range(LEVELS):
            used = self._levels[level]
            if used:
                shift = level * BITS
                start = (self.tick >> shift) + 1
                turn = start & (SLOTS - 1)
                rotated = (used >> turn | used << (SLOTS - turn)) & ((1 << SLOTS) - 1)
                ticks.append((start + (rotated & -rotated).bit_length() - 1) << shift)
        return min(ticks) << TICK_BITS if ticks else None
