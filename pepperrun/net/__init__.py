"""Network I/O: buffers, HTTP/1.1 parsers, client listener, backend connections, discovery and peers."""
