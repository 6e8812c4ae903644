"""One gateway from start to end: the program, its composition, the driver of the decisions."""
