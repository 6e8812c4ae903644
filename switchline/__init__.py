"""switchline: an API gateway that meters each customer's quota over all gateways of a fleet."""

__version__ = "0.2.0"
