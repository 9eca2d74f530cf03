"""What speaks on sockets: buffers, HTTP/1 parsers, connections to backends, discovery and peers."""
