"""The server that clients connect to, and the requests they send."""
