"""Whether and where a request is sent: queues, limits, retries, health."""
