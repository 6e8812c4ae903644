"""What operators use: the address that they call, their overrides, calls for the whole fleet, the metrics."""
