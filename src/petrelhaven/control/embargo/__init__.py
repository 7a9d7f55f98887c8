"""Embargoes in the control state: rules, their records, and the true time that releases them."""
