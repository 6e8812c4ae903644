"""The decisions of a gateway: events and the time go in, actions come out. No I/O and no clock."""

from switchline.policy.gateway import Gateway

__all__ = ["Gateway"]
