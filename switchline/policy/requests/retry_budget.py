"""The retry budget: requests earn further attempts, so that retries can't double an overload."""

from __future__ import annotations

MAX_BALANCE_ATTEMPTS = 10.0
ATTEMPTS_PER_REQUEST = 0.15  # the further attempts that each request earns
ATTEMPTS_PER_REQUEST_AT_LOW_LOAD = 0.6  # the same while the load is low


class RetryBudget:
    """Limits the number of further attempts (retries and hedged attempts).

    Attributes:
        balance: The number of further attempts that may be made now.
    """

    def __init__(self) -> None:
        self.balance = MAX_BALANCE_ATTEMPTS

    def earn(self, is_load_low: bool) -> None:
        """Add the fraction of an attempt that each request earns."""
        self.balance = min(
            MAX_BALANCE_ATTEMPTS,
            self.balance + (ATTEMPTS_PER_REQUEST_AT_LOW_LOAD if is_load_low else ATTEMPTS_PER_REQUEST),
        )

    def allows(self, price: float) -> bool:
        """Return whether the balance covers a price in attempts."""
        return self.balance >= price

    def spend(self, price: float) -> None:
        """Subtract a price in attempts from the balance."""
        self.balance -= price
