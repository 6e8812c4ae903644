"""Connections to backends and the attempts made on them."""
