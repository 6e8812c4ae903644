"""How a member passes on what it knows: gossip in datagrams, and exchanges of the complete state."""
