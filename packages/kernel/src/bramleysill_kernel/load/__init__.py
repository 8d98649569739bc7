"""Whether and where a request is sent, and how much memory it may take."""
