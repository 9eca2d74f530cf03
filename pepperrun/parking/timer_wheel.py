"""A hierarchical timer wheel over small numbers (Varghese and Lauck 1987, scheme 7).

Insert, cancel and each step of firing are O(1). It differs from the textbook in one thing: a slot whose time
has come is not cascaded or fired there and then, but poured whole (four links) onto a ring of what is to be
looked at, from which `take` works off a bounded number. So 100,000 timers in one slot stall nobody, whether
they fire together or have to move to a finer level together.
"""

from __future__ import annotations

from array import array

from pepperrun.parking.linked_lists import LinkedLists

BITS_PER_LEVEL = 6
SLOTS_PER_LEVEL = 1 << BITS_PER_LEVEL
LEVELS = 4
PENDING_LIST = LEVELS * SLOTS_PER_LEVEL  # the ring of what is to be looked at
HAND_OUT_LIST = PENDING_LIST + 1  # and of what is to be handed out whether it is due or not
TICK_BITS = 24  # a tick is 2^24 ns, 16.8 ms; the top level reaches 78 hours, and what is later goes round
HORIZON_TICKS = 1 << (BITS_PER_LEVEL * LEVELS)


class TimerWheel:
    """Timers by key, one each. Times are nanoseconds on any clock; one that steps back is waited for."""

    __slots__ = ("_due_at", "_lists", "_occupied", "count", "tick")

    def __init__(self, now: int) -> None:
        self._lists = LinkedLists(HAND_OUT_LIST + 1)
        self._due_at = array("q")
        self._occupied = [0] * LEVELS  # a bit for each slot that holds something
        self.tick = now >> TICK_BITS
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def grow(self, keys: int) -> None:
        """Makes room for the keys below `keys`."""
        self._lists.grow(keys)
        if keys > len(self._due_at):
            self._due_at.extend(array("q", [0]) * (keys - len(self._due_at)))

    def due_at(self, key: int) -> int | None:
        """When the key's timer falls due; None where it has none."""
        return self._due_at[key] if self._lists.contains(key) else None

    def insert(self, key: int, due_at: int) -> None:
        """Sets the key's timer, in place of the one that it had."""
        if self._lists.contains(key):
            self.cancel(key)
        self._due_at[key] = due_at
        self.count += 1
        self._place(key, due_at)

    def cancel(self, key: int) -> None:
        """Takes the key's timer away, if it has one."""
        if not self._lists.contains(key):
            return
        self.count -= 1
        emptied = self._lists.remove(key)
        if 0 <= emptied < PENDING_LIST:
            self._occupied[emptied >> BITS_PER_LEVEL] &= ~(1 << (emptied & (SLOTS_PER_LEVEL - 1)))

    def _place(self, key: int, due_at: int) -> None:
        tick = -(-due_at >> TICK_BITS)  # rounded up: none fires early
        wait = tick - self.tick
        if wait <= 0:
            self._lists.append(PENDING_LIST, key)
            return
        if wait >= HORIZON_TICKS:
            wait, tick = HORIZON_TICKS - 1, self.tick + HORIZON_TICKS - 1
        level = (wait.bit_length() - 1) // BITS_PER_LEVEL
        slot = (tick >> (level * BITS_PER_LEVEL)) & (SLOTS_PER_LEVEL - 1)
        self._occupied[level] |= 1 << slot
        self._lists.append(level * SLOTS_PER_LEVEL + slot, key)

    def advance(self, now: int) -> None:
        """Moves on to now: the slots passed are looked at by `take`. At most 256 steps, however far."""
        new, old = now >> TICK_BITS, self.tick
        if new <= old:
            return
        self.tick = new
        for level in range(LEVELS):
            first, last = old >> (level * BITS_PER_LEVEL), new >> (level * BITS_PER_LEVEL)
            if first == last:
                return
            occupied = self._occupied[level]
            for number in range(first + 1, min(last, first + SLOTS_PER_LEVEL) + 1):
                slot = number & (SLOTS_PER_LEVEL - 1)
                if occupied >> slot & 1:
                    occupied &= ~(1 << slot)
                    self._lists.move_all(level * SLOTS_PER_LEVEL + slot, PENDING_LIST)
            self._occupied[level] = occupied

    def take_due(self, now: int, limit: int) -> list[int]:
        """Looks at up to `most` timers whose slot has passed; the keys that are due, which have none now.

        After `restart` those that were set then come first, due or not.
        """
        due_keys: list[int] = []
        lists = self._lists
        while len(due_keys) < limit and (key := lists.first(HAND_OUT_LIST)) >= 0:
            lists.remove(key)
            self.count -= 1
            due_keys.append(key)
        for _ in range(limit - len(due_keys)):
            key = lists.first(PENDING_LIST)
            if key < 0:
                break
            lists.remove(key)
            due_at = self._due_at[key]
            # With a clock that has stepped back a timer may be ahead of a tick that is already past.
            if due_at <= now:
                self.count -= 1
                due_keys.append(key)
            elif -(-due_at >> TICK_BITS) <= self.tick:
                self.tick = min(self.tick, now >> TICK_BITS)
                self._place(key, due_at)
            else:
                self._place(key, due_at)
        return due_keys

    def has_pending(self) -> bool:
        """Is there something for `take` to look at now?"""
        return self._lists.first(PENDING_LIST) >= 0 or self._lists.first(HAND_OUT_LIST) >= 0

    def hand_out_all(self) -> None:
        """Every timer is handed out by `take`, to be set anew: what they count from has changed."""
        self._lists.move_all(PENDING_LIST, HAND_OUT_LIST)
        for level in range(LEVELS):
            occupied, self._occupied[level] = self._occupied[level], 0
            for slot in range(SLOTS_PER_LEVEL):
                if occupied >> slot & 1:
                    self._lists.move_all(level * SLOTS_PER_LEVEL + slot, HAND_OUT_LIST)

    def next_advance_at(self) -> int | None:
        """When to `advance` next, in nanoseconds, at the first due tick or sooner; None if nothing is set."""
        if self.has_pending():
            return 0  # at once; a clock that has stepped back may be far from this tick
        ticks = []
        for level in range(LEVELS):
            occupied = self._occupied[level]
            if occupied:
                shift = level * BITS_PER_LEVEL
                start = (self.tick >> shift) + 1
                offset = start & (SLOTS_PER_LEVEL - 1)
                rotated = (occupied >> offset | occupied << (SLOTS_PER_LEVEL - offset)) & (
                    (1 << SLOTS_PER_LEVEL) - 1
                )
                ticks.append((start + (rotated & -rotated).bit_length() - 1) << shift)
        return min(ticks) << TICK_BITS if ticks else None
