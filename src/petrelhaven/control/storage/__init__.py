"""Persistent storage of a control node: the record log and its files."""
