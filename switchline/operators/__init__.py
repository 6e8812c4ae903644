"""What operators call: the address, the overrides, the metrics."""
