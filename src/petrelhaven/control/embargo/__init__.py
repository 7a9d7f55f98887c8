"""Embargoed records: rules, agreed time and the duty that releases them."""
