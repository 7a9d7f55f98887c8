"""The replicated control state and its checks."""
