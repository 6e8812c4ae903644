"""Reads the settings of the decisions from the JSON that the configuration and the simulator share."""

from __future__ import annotations

from typing import Any

from switchline.policy import interface as api


def read_settings(raw: dict[str, Any]) -> api.Settings:
    """Read the settings; a missing key has its default.

    Raises:
        KeyError: A class or a plan lacks a field that it needs.
        ValueError: A value can't be read.
    """
    capabilities = raw.get("caps") or {}
    family = raw.get("familyInfo") or {}
    prices = raw.get("prices") or {}
    return api.Settings(
        index=int(raw.get("selfIndex") or 0),
        gateways=int(raw.get("groupSize") or 1),
        zone=str(raw.get("az") or ""),
        classes=tuple(read_class(raw_class) for raw_class in raw.get("classes") or ()),
        plans=tuple(read_plan(raw_plan) for raw_plan in raw.get("packages") or ()),
        rules=read_rules(raw.get("rules") or {}),
        max_attempts=int(capabilities.get("maxAttempts") or 1),
        can_hedge=bool(capabilities.get("mayDuplicate")),
        can_cancel=bool(capabilities.get("cancelling")),
        uses_counter=bool(family.get("mayCount")),
        must_watch_endpoint_list=raw.get("discovery") == "ask",
        max_retry_after_ms=float(capabilities.get("maxRetryAfter") or 0),
        counter_call_ms=float(family.get("countWait") or 0),
        max_request_units=float(family.get("unitsTop") or 1),
        cross_zone_price=float(prices.get("crossZone") or 0),
    )


def read_rules(raw: dict[str, Any]) -> api.SafetyRules:
    """Read the rules that protect backends from too many or too early requests."""
    return api.SafetyRules(
        drain_grace_ms=float(raw.get("drainGrace") or 0),
        start_capacity=float(raw.get("startCapacity") or 0),
        warm_up_ms=float(raw.get("warmWithin") or 0),
        overload_multiple=float(raw.get("fallMultiple") or 0),
    )


def read_class(raw: dict[str, Any]) -> api.RequestClass:
    """Read a class of requests.

    Raises:
        KeyError: The name, the deadline or the effect is missing.
        ValueError: A value can't be read.
    """
    return api.RequestClass(
        name=str(raw["name"]),
        latency_objective_ms=float(raw.get("aim") or raw["deadline"]),
        deadline_ms=float(raw["deadline"]),
        priority_weight=float(raw.get("importance") or 0),
        effect=api.Effect(raw["effect"]),
        deduplication_scope=api.DeduplicationScope(raw.get("group") or "all"),
        deduplication_window_ms=float(raw.get("repeatWindow") or 0),
    )


def read_plan(raw: dict[str, Any]) -> api.Plan:
    """Read a plan.

    Raises:
        KeyError: The name is missing.
        ValueError: A value can't be read.
    """
    return api.Plan(
        name=str(raw["name"]),
        rate_per_s=float(raw.get("rate") or 0),
        burst_units=float(raw.get("mostAtOnce") or 0),
        max_in_flight=int(raw.get("open") or 0),
        overage_revenue=float(raw.get("beyondEarns") or 0),
        overage_cost=float(raw.get("overrunCost") or 0),
        ceiling_rate_per_s=float(raw.get("neverOverRate") or 0),
        ceiling_burst_units=float(raw.get("hardBurst") or 0),
    )
