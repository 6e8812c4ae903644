"""One gateway from start to end: the program, its parts, and the driver of the policy."""
