"""Parked connections: those that hold no request cost a record of some dozen bytes each.

`rings`, `wheel`, `ledger` and `budget` decide and do no I/O; `lot` owns the descriptors that this process
holds, `holders` and `holder` those that other processes keep for it, `listener` puts them behind a front.
"""
