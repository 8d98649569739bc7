"""Explicit-state models of the ownership protocols; run by `__main__`."""
