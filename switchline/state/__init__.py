"""State on disk: what a gateway must know after a crash. Imported only with `state` configured.

`persistence` owns the state from the start to the end of the process. It uses `restore` to pass the records
of an earlier process to the objects that own them, and `store` to write the records that these objects save.
`store` runs in the event loop. `writer` is the only thread that accesses the disk. It does so through
`storage`, which combines the `folder` (lock and file names) and the `database` (SQLite).

A power loss loses the records saved since the last commit: those of 20 ms while the disk is fast enough, and
of at most 1.5 s, because a slower store is turned off (`state.on` 0). It also loses what the policy has not
yet saved: outlier scores, latencies and leases of the last 0.5 s, and the records of customers in use of the
last second. The reply to an operator's call is sent after the commit of the call, so no call is lost. Quota
units are reserved on disk before they are spent (`switchline.policy.persistence.durable_state`), so that none
are spent twice; only a customer's first request may be served before its reservation is on disk.
"""
