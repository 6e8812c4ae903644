"""State on disk: what a gateway must know after a crash. Imported only with `state` configured.

`persistence` owns it from the start to the end of the process: it has `restore` give what an earlier process
left to its owners, and has `store` write what they save. `store` is the event loop's side; `writer` is the
one thread that touches the disk, through `storage`, which joins the `folder` (lock and file names) and the
`database` (SQLite).

A power loss takes what was saved since the last commit: 20 ms of changes while the disk keeps up, 1.5 s at
most, after which the store is off (`state.on` 0). It takes as well what the policy has not yet given to be
saved: scores of backends, latency and leases of the last 0.5 s, records of customers in use of the last
second. An operator's call is replied to after its commit, so none is lost. Spending of quotas is reserved on
disk ahead of it (`switchline.policy.persistence.durable_state`), so that what was spent is not given a second
time; only a customer's first request may be served before its reservation is on disk.
"""
