"""The RESP server that clients connect to, and the parsing of their requests."""
