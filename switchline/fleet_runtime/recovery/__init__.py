"""What a gateway recovers from the others at its start, and the staged return of a fleet that lost power."""
