"""Embargoes at the control nodes: rules, the records that change them, and the agreed time."""
