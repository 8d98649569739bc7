"""Which upstream owns which unit, in a cell with a manifest."""
