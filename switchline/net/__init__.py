"""Sockets and protocols: RESP and JSON parsers, streamed values, the descriptor budget, accepting."""
