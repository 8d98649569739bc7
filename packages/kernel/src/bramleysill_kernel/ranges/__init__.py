"""Which upstream owns which range of keys, on the users' platform."""
