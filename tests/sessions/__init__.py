"""Scripted sessions of a whole cell, recorded as text; see README.md."""
