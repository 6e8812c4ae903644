"""Membership and failure detection: SWIM with the refinements of Lifeguard and memberlist."""
