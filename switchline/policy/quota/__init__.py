"""Quotas: customers and their leases, admission of requests, and fair shares of slots."""
