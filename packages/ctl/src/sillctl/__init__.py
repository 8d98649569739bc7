"""sillctl, the command line tool of the operators."""
