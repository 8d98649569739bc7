"""Event loop, connections and HTTP on circuits."""
