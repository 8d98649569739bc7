"""Pure decision logic of the router; no input or output."""
