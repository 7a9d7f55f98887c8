"""Choosing and promoting primaries."""
