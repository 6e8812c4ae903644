"""Zones as a decision of the whole fleet."""
