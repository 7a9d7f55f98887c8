"""Counts tenants' operations at the control nodes.

Each tenant has one counting node in a view, and a successor that receives copies of its count.
Proxies send reports to the control node that they are connected to (`relay`), which forwards them
to the counting nodes (`service`). `fresh_start` decides what a node may grant without earlier
state; `copies` limits how far a counting node may grant ahead of its successor's copy.
docs/notes/tenant-limits.md has the reasons.
"""
