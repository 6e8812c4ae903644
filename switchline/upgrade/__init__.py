"""The hand-over between two processes of one gateway."""
