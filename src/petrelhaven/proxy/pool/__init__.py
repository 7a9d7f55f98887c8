"""Connections to database members."""
