"""Runs a reduced Hsinchu cell on loopback and checks its outcomes."""
