"""Counting of tenants' operations by control nodes.

Each tenant has one counting node in a view, and a successor that is kept up to date. Proxies report
to the control node that they are connected to (`relay`), which passes reports on to the counting
nodes (`service`). What a node may grant after a restart is decided by `fresh_start`; `copies` keeps
the successor's knowledge within bounds. docs/notes/tenant-limits.md has the reasons.
"""
