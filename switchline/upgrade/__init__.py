"""The hand-over from an old process of a gateway to the new process that replaces it."""
