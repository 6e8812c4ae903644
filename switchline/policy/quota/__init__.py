"""Quotas: customers and their leases, admission, and fair shares of places."""
