"""Leaving a zone, and returning to it, as one decision of the fleet.

Who decides: for each pair of zones (observers, target) the gateways of the observers' zone decide together
whether they use the target. Any of them may write the next version of that decision as a gossiped fact, and
the highest version holds, so there is no leader. A gateway in a minority writes none.

The path of a decision, and the module of each step:

1. `reports`: each gateway publishes what it observed in a zone that is in question.
2. `evidence`: reports are pooled; of each backend the latest observation counts.
3. `leaving`: when a zone that is used is left.
4. `returning`: when a zone that was left is entered again, and each step of that ramp.
5. `ramp`: how a ramp's rate is divided among the gateways.
6. `decision`: the wire form of a decision, and the directive that the policy follows.
7. `agreement`: one gateway's part in all of it.
8. `coordination`: joins the agreement with the running gateway; `stored_decisions`: decisions on disk.

Settings that change it: the gateway's `zone` (whose gateways decide together), `start_capacity` and
`warm_within` (first share and length of a ramp), the table `fleet` (without it each gateway acts on its own
evidence), and the operators' calls `/ops/zones/down` and `up`, which go before any decision. The thresholds
are constants at the top of `leaving` and `returning`.
"""
