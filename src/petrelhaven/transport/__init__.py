"""Calls between processes: links, messages and HTTP."""
