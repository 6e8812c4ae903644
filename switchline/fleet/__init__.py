"""The protocol between gateways: membership by SWIM, and facts that the fleet shares by gossip.

No module here does I/O, reads a clock or draws from a global source of randomness; `switchline.fleet_runtime`
owns the sockets, the timers and the clock.

- `endpoint`: one member's protocol endpoint, which joins the parts.
- `membership`: who is in the fleet: probes, suspicions, and the claims about each member.
- `dissemination`: what is passed on by gossip, and the exchange of complete states.
- `facts`, `fact_kinds`: the table of facts, its merge and its bounds.
- `messages`, `frames`: the wire.
- `versions`: which gateways have stale versions, and their quarantine.
- `outage`: whether the whole fleet lost power. `hybrid_clock`: the order of records.
"""
