"""See __main__."""
