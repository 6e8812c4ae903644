"""State on disk, and its restoring at a start."""
