"""Backends: their capacity and health, which of them gets an attempt, and zones."""
