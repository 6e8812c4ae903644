"""The operators' interface: the HTTP address, overrides, calls for the whole fleet, and metrics."""
