"""Stand-ins for clients, backends, discovery, the counter and the platform; the standard library alone."""
