"""Detects stale versions of endpoint lists, programs and configurations, and quarantines stale gateways."""
