"""Records of state, as they are told to another process or kept on disk, and taken from there. Pure.

Nothing here decides anything of a request: what is out of its range is refused whole, with a ValueError.
"""

from __future__ import annotations

import math
from typing import Any

from switchline.policy import interface as api
from switchline.policy.customer import Customer

MOST_PASSED = 4_096  # customers that an upgrade passes over, those met last
LARGEST = 1e9  # of any number that a row may hold, times apart


def read_numbers(given: Any) -> list[float]:
    numbers = [float(number) for number in given]
    if not all(map(math.isfinite, numbers)):
        raise ValueError("no number")
    return numbers


def check(said: list[Any]) -> None:
    """Of a row of a backend or of the gateway."""
    match said:
        case ["gateway", _, typical, recent, _, samples, rate, _]:
            good = all(0 <= number <= LARGEST for number in (typical, recent, samples, rate))
        case ["backend", _, dict(marks), _]:
            good = all(abs(level) <= LARGEST for level, _ in marks.values())
        case _:
            good = False
    if not good:
        raise ValueError(f"out of range: {said[:2]}")


def check_customer(c: Customer) -> None:
    """Of a customer that was just taken from a row."""
    for name in ("even", "part", "top", "chance"):
        if not 0 <= getattr(c, name) <= 1.0:
            raise ValueError(f"{name} out of range")
    if any(abs(x) > LARGEST for x in (c.tokens, c.ceiling, c.store, c.spent, c.unsaid, c.mine, c.all)):
        raise ValueError("out of range")


class StateRecords:
    """What of a gateway passes over in rows; `Gateway` (rules.py) owns it all, and decides by it."""

    created: float
    typical: float
    recent: float
    recent_at: float
    samples: float
    rate: float
    answered_at: float
    backends: dict[int, Any]  # with an id, marks and a start
    customers: dict[str, Customer]
    plans: dict[str, api.Plan]
    # Another process of this gateway beside this one: both count as one; only one calls the counter.
    beside: bool
    counts: bool

    def state(self) -> dict[str, list[Any]]:
        """What is passed over or kept of the gateway itself and of each backend, by name."""
        pace = self.typical, self.recent, self.recent_at, self.samples, self.rate, self.answered_at
        of_backends = ([b.id, dict(b.marks), b.started] for b in self.backends.values() if b.marks)
        return {"": ["gateway", self.created, *pace]} | {str(b[0]): ["backend", *b] for b in of_backends}

    def take(self, now: float, said: list[Any]) -> Customer | None:
        """Take over a row, from another process or the disk; the customer, if it is of one."""
        match said:
            case ["gateway", *numbers] if len(finite := read_numbers(numbers)) == 7:
                self.created, self.typical, self.recent, self.recent_at = finite[:4]
                self.samples, self.rate, self.answered_at = finite[4:]
            case ["backend", int(backend), dict(marks), *started]:
                read = {str(name): read_numbers(mark) for name, mark in marks.items()}
                kept = {name: (level, min(at, now)) for name, (level, at) in read.items()}
                if (b := self.backends.get(backend)) and started in ([], [b.started]):
                    b.marks = kept  # of the same process; what was seen of another one says nothing
            case ["customer", str(key), str(plan), int(out), list(state)] if plan in self.plans:
                values = dict(zip(Customer.PASSED, read_numbers(state), strict=True))
                c = self.customer(now, key, plan, max(1e-3, values["even"]))
                for name, number in values.items():
                    setattr(c, name, type(getattr(c, name))(number))
                c.elsewhere = out
                return c
            case _:
                raise ValueError(f"no state of this program: {said[:1]}")
        return None

    def on_beside_came(self, now: float, _: api.PeerProcessJoined, out: api.Actions) -> None:
        """A new process takes over: tell it all that both must hold together, and from now on each spend.

        Danger: two processes with a bucket each would let in everything twice.
        """
        self.beside, self.counts = True, False
        out.extend(api.Replicate(said) for said in self.state().values())
        for c in sorted(self.customers.values(), key=lambda c: c.filled_at)[-MOST_PASSED:]:
            out.append(api.Replicate(c.state()))

    def on_beside_left(self, now: float, _: api.PeerProcessLeft, __: api.Actions) -> None:
        self.beside, self.counts = False, True
        for c in self.customers.values():
            c.elsewhere = 0

    def tell(
        self,
        c: Customer,
        out: api.Actions,
        asked: float = 0.0,
        tokens: float = 0.0,
        units: float = 0.0,
        ceiling: float = 0.0,
        open: int = 0,
    ) -> None:
        """Let the other process take the same from its copy of a customer's buckets."""
        if self.beside:
            out.append(
                api.Replicate(["spent", c.key, c.plan.name, c.even, asked, tokens, units, ceiling, open])
            )

    def customer(self, now: float, key: str, plan: str, even: float) -> Customer:
        """The customer of that key."""
        raise NotImplementedError
