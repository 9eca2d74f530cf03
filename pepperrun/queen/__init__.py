"""Queen (agreement): one register that a majority of the core's voters agrees on, and who these voters are."""
