"""Failure detection: who is in the fleet and alive."""
