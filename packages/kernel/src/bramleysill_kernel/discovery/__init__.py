"""Which upstreams are registered, and how recent what is known is."""
