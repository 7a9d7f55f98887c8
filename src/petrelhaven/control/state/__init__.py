"""The replicated control state and its records."""
