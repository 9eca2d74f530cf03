"""Storage: what a control node keeps on its disk, synced before anything is said that rests on it."""
