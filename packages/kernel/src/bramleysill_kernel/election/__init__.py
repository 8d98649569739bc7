"""Which router leads a cell, and for how long."""
