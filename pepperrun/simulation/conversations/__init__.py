"""Drawn HTTP conversations of scripted clients and workers with a real data plane over loopback sockets."""
