"""Cost of the decision which request gets which engine."""
