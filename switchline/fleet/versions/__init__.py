"""Stale versions: of endpoint lists, programs and configurations, and the quarantine that follows."""
