"""The router process that sends to the owners of key ranges directly."""
