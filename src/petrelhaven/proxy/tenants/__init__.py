"""Identifies the tenants of clients at a proxy, and enforces their limits."""
