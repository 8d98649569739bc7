"""Runs a reduced Hsinchu cell on loopback and proves its outcomes."""
