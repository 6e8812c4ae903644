"""Stand-ins for the systems around a gateway."""
