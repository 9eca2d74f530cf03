"""A hierarchical timer wheel over small integers (Varghese and Lauck 1987, scheme 7).

Insert, cancel and each step of firing are O(1). In one point the wheel differs from the textbook: a slot
whose time has come is not cascaded or fired at once. The whole slot is appended to a list of pending timers
(four links change), and each call of `take_due` processes a bounded number of those. So 100,000 timers in
one slot do not stall the event loop, whether they fire together or move to a finer level together.
"""

from __future__ import annotations

from array import array

from pepperrun.parking.linked_lists import LinkedLists

BITS_PER_LEVEL = 6
SLOTS_PER_LEVEL = 1 << BITS_PER_LEVEL
LEVELS = 4
PENDING_LIST = LEVELS * SLOTS_PER_LEVEL  # the list of timers whose slot has passed, for `take_due`
HAND_OUT_LIST = PENDING_LIST + 1  # the list of timers that `take_due` returns whether they are due or not
TICK_BITS = (
    24  # a tick is 2^24 ns, 16.8 ms; the top level reaches 78 hours, later timers pass through it again
)
HORIZON_TICKS = 1 << (BITS_PER_LEVEL * LEVELS)


class TimerWheel:
    """One timer per key. Times are in ns on any clock; if it steps back, timers wait until it catches up."""

    __slots__ = ("_due_at", "_lists", "_occupied", "count", "tick")

    def __init__(self, now: int) -> None:
        self._lists = LinkedLists(HAND_OUT_LIST + 1)
        self._due_at = array("q")
        self._occupied = [0] * LEVELS  # per level, a bit for each slot that is not empty
        self.tick = now >> TICK_BITS
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def grow(self, keys: int) -> None:
        """Extends the arrays for the keys below `keys`."""
        self._lists.grow(keys)
        if keys > len(self._due_at):
            self._due_at.extend(array("q", [0]) * (keys - len(self._due_at)))

    def due_at(self, key: int) -> int | None:
        """Returns when the timer of a key is due, in ns; None if the key has no timer."""
        return self._due_at[key] if self._lists.contains(key) else None

    def insert(self, key: int, due_at: int) -> None:
        """Sets the timer of a key and replaces a previous one."""
        if self._lists.contains(key):
            self.cancel(key)
        self._due_at[key] = due_at
        self.count += 1
        self._place(key, due_at)

    def cancel(self, key: int) -> None:
        """Cancels the timer of a key, if it has one."""
        if not self._lists.contains(key):
            return
        self.count -= 1
        emptied = self._lists.remove(key)
        if 0 <= emptied < PENDING_LIST:
            self._occupied[emptied >> BITS_PER_LEVEL] &= ~(1 << (emptied & (SLOTS_PER_LEVEL - 1)))

    def _place(self, key: int, due_at: int) -> None:
        tick = -(-due_at >> TICK_BITS)  # rounded up, so that no timer fires early
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
        """Moves on to `now`; timers of the slots passed become pending. At most 256 steps, however far."""
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
        """Processes up to `limit` pending timers; returns the keys of the due ones and ends their timers.

        A timer that is not due yet moves to a finer level. After `hand_out_all` the timers that were set at
        that time come first, due or not.
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
            # After the clock has stepped back, a timer may not be due though its tick has passed.
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
        """Whether `take_due` has timers to process now."""
        return self._lists.first(PENDING_LIST) >= 0 or self._lists.first(HAND_OUT_LIST) >= 0

    def hand_out_all(self) -> None:
        """Lets `take_due` return every timer, so that the caller sets it again: time-outs have changed."""
        self._lists.move_all(PENDING_LIST, HAND_OUT_LIST)
        for level in range(LEVELS):
            occupied, self._occupied[level] = self._occupied[level], 0
            for slot in range(SLOTS_PER_LEVEL):
                if occupied >> slot & 1:
                    self._lists.move_all(level * SLOTS_PER_LEVEL + slot, HAND_OUT_LIST)

    def next_advance_at(self) -> int | None:
        """Returns when to call `advance` next, in ns: the first due tick or earlier; None without timers."""
        if self.has_pending():
            return 0  # at once: after a step back, the clock may be far from this tick
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
