"""The retry budget: further attempts are earned by requests, so that they can't double an overload."""

from __future__ import annotations

MAX_BALANCE = 10.0  # attempts
# Attempts earned a request, and while the load is low.
EARNED = 0.15
EARNED_AT_LOW_LOAD = 0.6


class RetryBudget:
    """Owns how many further attempts (retries and hedged requests) may be made now.

    Attributes:
        balance: Attempts that are saved up.
    """

    def __init__(self) -> None:
        self.balance = MAX_BALANCE

    def earn(self, is_load_low: bool) -> None:
        """Earn a part of an attempt with a request."""
        self.balance = min(MAX_BALANCE, self.balance + (EARNED_AT_LOW_LOAD if is_load_low else EARNED))

    def allows(self, price: float) -> bool:
        """Whether the balance holds so many attempts."""
        return self.balance >= price

    def spend(self, price: float) -> None:
        """Take attempts from the balance."""
        self.balance -= price
