"""What is known of the upstreams that have registered in the store."""
