"""The decisions of a gateway: events and the time are its input, actions its output. No I/O, no clock."""

from switchline.policy.gateway import Gateway

__all__ = ["Gateway"]
