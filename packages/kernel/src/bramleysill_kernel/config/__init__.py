"""The manifest, the routing configuration, settings and timings."""
