"""Decisions of the whole fleet to leave a zone, and to return to it.

Who decides: for each pair of zones (observers, target) the gateways of the observers' zone decide together
whether they use the target. Any of them may write the next version of that decision as a gossiped fact, and
the highest version holds, so no leader is needed. A gateway in a minority writes none.

The path of a decision, and the module of each step:

1. `reports`, `publisher`: each gateway publishes what it observed in a zone that is in question.
2. `evidence`: reports are pooled; for each backend the latest observation counts.
3. `leaving`: when a zone that is in use is left.
4. `returning`: when traffic returns to a zone that was left, and each step of that ramp.
5. `ramp`: how a ramp's rate is divided among the gateways.
6. `decision`: the form of a decision on the wire and on disk, and the directive that the policy follows.
7. `agreement`: one gateway's part in these decisions, with its state of each zone (`progress`) and the load
   and backends that it computes with (`capacity`).
8. `coordination`: connects the agreement to the running gateway.

Settings that affect it: the gateway's `zone` (whose gateways decide together), `start_capacity` and
`warm_within` (first share and length of a ramp), the table `fleet` (without it each gateway acts on its own
evidence), and the operators' calls `/ops/zones/down` and `up`, which take precedence over
any decision. The thresholds are constants at the top of `leaving` and `returning`.
"""
