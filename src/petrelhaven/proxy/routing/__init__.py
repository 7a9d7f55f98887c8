"""The way of a statement from a session to a member."""
