"""Values, clocks, errors, messages and registries that all subpackages use."""
