"""Data plane: accepts requests of clients, decides which workers they may go to, and forwards them."""
