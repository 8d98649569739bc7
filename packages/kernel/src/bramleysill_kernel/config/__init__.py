"""Manifest, routing configuration, organisations, settings and timings."""
