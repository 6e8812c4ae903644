"""State that outlives a process: records on disk, and replication between two processes of a gateway."""
