"""Bytes and sockets: RESP, JSON in a stream, descriptors, accepting."""
