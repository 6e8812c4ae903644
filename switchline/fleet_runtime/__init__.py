"""Connects the fleet protocol, which does no I/O, to sockets, timers and the gateway."""
