"""Requests: attempts, latency, load, the loss timeout, the retry budget and the final answer."""
