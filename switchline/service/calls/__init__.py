"""What operators call: overrides, drains, metrics and the state of the fleet."""
