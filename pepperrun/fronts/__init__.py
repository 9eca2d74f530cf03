"""Client sides: each turns what clients send into exchanges and final answers into what clients read."""
