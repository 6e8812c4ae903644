"""The log lines of a gateway's start, requests, fleet and end, as format strings by event.

A line names the event and gives its values, mostly as `key=value`. Lines that docs/on-call.md or a test names
change only together with them. The rate limit of the log counts each format string as one kind (`logs.py`).
"""

from __future__ import annotations

from typing import Final

# Start, reload, upgrade and end of the process.
EVENT_LOOP_RETRIED: Final = "event loop not available, retried: error=%s"
CONFIG_REJECTED: Final = "the changed configuration is rejected, the previous one stays in force: %s"
NO_FIRST_LIST: Final = "no endpoint list from discovery yet: waited_s=%.2f"
SERVING: Final = "%s serves at %s:%d"
MEMORY_GRANTED: Final = "memory granted by an older process: waited_s=%.2f granted_mb=%.1f loaded_mb=%.1f"
MEMORY_WHOLE: Final = "the older process has ended, the whole memory limit holds here: limit_mb=%.0f"
MEMORY_WANTED: Final = "a new process needs memory: used_mb=%.1f without_clients_mb=%.1f"
MEMORY_TOO_SMALL: Final = (
    "the memory limit is too small for the two processes of an upgrade: limit_mb=%.0f without_clients_mb=%.1f"
)
HANDING_OVER: Final = "another process takes the clients"
DRAIN_STARTED: Final = "drain started: by=operator"
DRAIN_STOPPED: Final = "drain stopped: by=operator"
SHUTDOWN_STARTED: Final = "shutdown started: open_requests=%d"
SHUTDOWN_DEADLINE: Final = "shutdown deadline reached: open_requests=%d"
ENDED: Final = "ended: faults_contained=%d invariants_violated=%s"

# Requests and attempts.
REPORT: Final = "last %d s: %s; now: %s"
ATTEMPT_FAILED: Final = "attempt failed: request=%s attempt=%d backend=%x outcome=%s lag_ms=%.0f"
MEMORY_USED_UP: Final = (
    "request rejected for memory: commands=%d requests=%d answers=%d collected=%d reserved=%d limit=%d"
    " process=%d process_limit=%d"
)
ANSWER_NOT_COLLECTED: Final = "no memory in time to collect a long answer: request=%s length=%d"
REQUEST_REPEATED: Final = "request has come again after it was sent: request=%s"
REQUEST_UNANSWERED: Final = "request unanswered at its deadline: request=%s"

# Operator overrides and records on disk.
BACKEND_OVERRIDDEN: Final = "backend %s is %s by an operator"
OVERRIDE_NOT_STORED: Final = "override not stored: error=%s"
RECORD_REJECTED: Final = "state record rejected: error=%s"

# Gossip with the other gateways.
GOSSIP_LISTENING: Final = "gossip listening: address=%s:%d"
GOSSIP_NOT_LISTENING: Final = "gossip can't listen at %s:%d: %s"
GOSSIP_DROPPED: Final = "gossip: messages dropped in the last %d s: %s"
GOSSIP_NAME_SHARED: Final = "gossip: another process has this name"
GOSSIP_NAME_FREE: Final = "gossip: no other process has this name any more"
FACT_NOT_PUBLISHED: Final = "fact not published: error=%s"
INCARNATION_NOT_STORED: Final = "incarnation not stored: error=%s"

# Versions of this gateway, compared with those of the other gateways.
VERSION_DIFFERS: Final = "the %s of this gateway is %s: %s"
QUARANTINE_ENTERED: Final = "quarantine entered: %s"
QUARANTINE_LEFT: Final = "quarantine left: %s"
LIST_STALE: Final = "the endpoint list here is stale: version %d, most gateways have a newer one, up to %d"
LIST_UP_TO_DATE: Final = "the endpoint list here is up to date again: version %d"
LIST_REPAIRED: Final = "endpoint list repaired to version %d with the lists of %s: %s"
PEER_LIST_REJECTED: Final = "endpoint list of another gateway rejected: error=%s"

# Recovery after a start.
STAGE_ENTERED: Final = "recovery: stage %s: %s"
PEERS_QUERIED: Final = (
    "recovery: heard %d other gateways in %d ms; adopted %d overrides, took %d hosts from an endpoint list"
)
PEER_LIST_NEWER: Final = "recovery: endpoint list of another gateway is newer: version=%d own_version=%d"
PEER_LIST_UNREADABLE: Final = "recovery: endpoint list of another gateway rejected: error=%s"
DISCOVERY_WITHHELD: Final = (
    "discovery's list of %d hosts is held back: its version is %s, the known one is %s"
)
SPENDING_RECEIVED: Final = "recovery: spending received: customers=%d"
SPENDING_MISSING: Final = "recovery: spending not received: gateways=%s"
PEER_OVERRIDES_NOT_STORED: Final = "overrides of other gateways not stored: error=%s"
