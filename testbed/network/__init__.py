"""Loopback addresses, links with faults, and peers on sockets."""
