"""State on disk: what a gateway must know after a crash. Imported only with `state` configured.

`persistence` owns it from the start to the end of the process: it has `restore` give what an earlier process
left to its owners, and has `store` keep what they save. `store` is the event loop's side; `writer` is the one
thread that touches the disk, through `storage`, which joins the `folder` (lock and file names) and the
`database` (SQLite). What a power loss takes: what was saved since the last commit, which is 20 ms old, 0.5 s
where nothing changes. Operators' calls and the spending of quotas wait for their commit, so none of those is
lost.
"""
