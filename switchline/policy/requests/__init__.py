"""Requests: attempts, latency, patience, retries and the final answer."""
