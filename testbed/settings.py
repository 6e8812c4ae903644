"""The settings of the test bed's gateways, in the form of the configuration.

The classes, plans and rules follow the deployment's page. Times are as there, except that deadlines are
halved: a play of half a minute then covers many requests from beginning to end.
"""

from __future__ import annotations

from typing import Any

CLASSES: tuple[dict[str, Any], ...] = (
    {"name": "kalkyl", "aim": 1500.0, "deadline": 4000.0, "effect": "pure", "importance": 3.0},
    {
        "name": "spara",
        "aim": 1500.0,
        "deadline": 4000.0,
        "effect": "token",
        "group": "cell",
        "repeatWindow": 5000.0,
        "importance": 3.0,
    },
    {"name": "lanelofte", "aim": 2000.0, "deadline": 4000.0, "effect": "side_effect", "importance": 9.0},
)
# Share of each class in the requests.
CLASS_SHARES = {"kalkyl": 0.60, "spara": 0.22, "lanelofte": 0.18}
# Mean work of a request of each class, on a core of speed 1.
WORK_MS = {"kalkyl": 200.0, "spara": 200.0, "lanelofte": 300.0}
PLANS: tuple[dict[str, Any], ...] = (
    {"name": "bas", "rate": 1.6, "mostAtOnce": 8.0, "overrunCost": 1.0, "worthFactor": 0.88},
    {"name": "mellan", "rate": 3.0, "mostAtOnce": 14.0, "beyondEarns": 0.3, "worthFactor": 1.3},
    {
        "name": "stor",
        "rate": 12.0,
        "mostAtOnce": 24.0,
        "overrunCost": 0.8,
        "worthFactor": 1.4,
        "neverOverRate": 25.0,
        "hardBurst": 50.0,
        "capSlack": 5.0,
    },
)
# Share of each plan in the customers.
PLAN_SHARES = {"bas": 0.4, "mellan": 0.35, "stor": 0.25}
RULES = {
    "answerSlack": 50.0,
    "drainGrace": 500.0,
    "fall": 3000.0,
    "fallMultiple": 3.0,
    "startCapacity": 0.19,
    "warmWithin": 16000.0,
}
# Highest number of units of one request.
MAX_UNITS = 4
COUNTER_TIMEOUT_MS, CONNECT_TIMEOUT_MS, KEEPALIVE_MS = 60.0, 250.0, 15_000.0
MAX_ATTEMPTS = 5


def settings(index: int, gateways: int, zone: str, zones: list[str], cross_price: float) -> dict[str, Any]:
    """The `settings` table of the gateway with this index, in a fleet of `gateways`.

    `cross_price`: the value (0 to 1) of `prices.crossZone`.
    """
    return {
        "az": zone,
        "areas": zones,
        "selfIndex": index,
        "groupSize": gateways,
        "discovery": "push",
        "caps": {
            "maxAttempts": MAX_ATTEMPTS,
            "cancelling": True,
            "mayDuplicate": True,
            "retryAfter": True,
            "maxRetryAfter": 2000.0,
            "connectTimeout": CONNECT_TIMEOUT_MS,
            "keepalive": KEEPALIVE_MS,
            "maxOpen": 1000,
        },
        "classes": list(CLASSES),
        "packages": list(PLANS),
        "familyInfo": {"mayCount": True, "countWait": COUNTER_TIMEOUT_MS, "unitsTop": MAX_UNITS},
        "prices": {"crossZone": cross_price},
        "rules": RULES,
    }
