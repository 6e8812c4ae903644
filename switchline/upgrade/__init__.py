"""The hand-over from an old process of a gateway to the new one that replaces it."""
