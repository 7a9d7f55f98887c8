"""The operator's configuration: its types and checks."""
