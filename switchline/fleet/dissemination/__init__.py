"""What a member passes on: gossip within datagrams, and exchanges of the complete state."""
