"""What a gateway recovers from others at its start, and the staged return of a fleet after a power loss."""
