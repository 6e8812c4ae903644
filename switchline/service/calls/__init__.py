"""The calls of operators: overrides, drains, metrics and the state of the fleet."""
