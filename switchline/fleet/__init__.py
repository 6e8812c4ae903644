"""The protocol between gateways: membership by SWIM, and facts that gateways share by gossip.

No module here does I/O, reads a clock or draws from a global source of randomness; `switchline.fleet_runtime`
owns the sockets, the timers and the clock.

- `endpoint`: the protocol endpoint of one member, which connects the other modules.
- `membership`: the members of the fleet: probes, suspicions, and the claims about each member.
- `dissemination`: gossip in datagrams, and exchanges of the complete state.
- `facts`, `fact_kinds`: the table of facts, its merge and its limits.
- `messages`, `frames`: the messages and their encoding in frames.
- `versions`: which gateways have stale versions, and their quarantine.
- `outage`: whether the whole fleet lost power.
- `hybrid_clock`: timestamps that order the audit records of all gateways.
"""
