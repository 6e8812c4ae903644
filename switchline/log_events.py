"""The log lines of a gateway's start, requests, fleet and end, as format strings by event.

A line says the event and its values as `key=value`. Lines that docs/on-call.md or a test names keep their
wording. The log's bound on lines counts each format string as one kind (`logs.py`).
"""

from __future__ import annotations

from typing import Final

# Start, reload, upgrade and end of the process.
EVENT_LOOP_RETRIED: Final = "event loop not available, retried: error=%s"
CONFIG_REJECTED: Final = "the changed configuration is not taken: %s"  # the old one still holds
NO_FIRST_LIST: Final = "no news of discovery yet: waited_s=%.2f"
SERVING: Final = "%s serves at %s:%d"
HANDING_OVER: Final = "another process takes the clients"
DRAIN_STARTED: Final = "drain started: by=operator"
DRAIN_STOPPED: Final = "drain stopped: by=operator"
SHUTDOWN_STARTED: Final = "shutdown started: open_requests=%d"
SHUTDOWN_DEADLINE: Final = "shutdown deadline reached: open_requests=%d"
ENDED: Final = "ended: faults_contained=%d invariants_violated=%s"

# Requests and attempts.
REPORT: Final = "last %d s: %s; now: %s"
ATTEMPT_FAILED: Final = "attempt failed: request=%s attempt=%d backend=%x outcome=%s lag_ms=%.0f"
REQUEST_UNANSWERED: Final = "request unanswered at its deadline: request=%s"

# Operator overrides and records on disk.
BACKEND_OVERRIDDEN: Final = "%s is %s by hand"
OVERRIDE_NOT_STORED: Final = "override not stored: error=%s"
RECORD_REJECTED: Final = "state record rejected: error=%s"

# Gossip with the other gateways.
GOSSIP_LISTENING: Final = "gossip listening: address=%s:%d"
GOSSIP_NOT_LISTENING: Final = "the line to other gateways can't listen at %s:%d: %s"
GOSSIP_DROPPED: Final = "line to other gateways: dropped in the last %d s: %s"
GOSSIP_NAME_SHARED: Final = "line to other gateways: another process has this name"
GOSSIP_NAME_FREE: Final = "line to other gateways: this process has its name again"
FACT_NOT_PUBLISHED: Final = "fact not published: error=%s"
INCARNATION_NOT_STORED: Final = "incarnation not stored: error=%s"

# Versions compared with the other gateways'.
VERSION_DIFFERS: Final = "the %s here is %s: %s"
QUARANTINE_ENTERED: Final = "shut out: %s"
QUARANTINE_LEFT: Final = "no more shut out: %s"
LIST_STALE: Final = "the list here is behind: %d, most have a newer one, up to %d"
LIST_UP_TO_DATE: Final = "the list here is level again: %d"
LIST_REPAIRED: Final = "brought up to list %d by %s: %s"
PEER_LIST_REJECTED: Final = "endpoint list of another gateway rejected: error=%s"

# Recovery after a start.
STAGE_ENTERED: Final = "recovery: stage %s: %s"
PEERS_QUERIED: Final = (
    "recovery: heard %d other gateways in %d ms; of them come %d that are out by hand, %d of a list"
)
PEER_LIST_NEWER: Final = "recovery: endpoint list of another gateway is newer: version=%d own_version=%d"
PEER_LIST_UNREADABLE: Final = "recovery: endpoint list of another gateway rejected: error=%s"
DISCOVERY_WITHHELD: Final = "discovery's list of %d hosts is held back: %s, here %s"
SPENDING_RECEIVED: Final = "recovery: spending received: customers=%d"
SPENDING_MISSING: Final = "recovery: spending not received: gateways=%s"
PEER_OVERRIDES_NOT_STORED: Final = "overrides of other gateways not stored: error=%s"
