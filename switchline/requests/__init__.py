"""Requests, from their arrival to their one final answer, and the attempts made for them."""
