"""Storage: what a core machine keeps on its disk, synced before anything is said that rests on it."""
