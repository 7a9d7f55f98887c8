"""Limits on what tenants may run, summed over all proxies: the decisions, without any transport.

Everything here takes the time and reports as arguments and returns decisions, so that the control
nodes, the proxies, the simulator and the models drive the same code. Reading order: `terms` (what
a limit means), `holding` (the permits that a proxy holds), `counter` (the node that counts a
tenant), `standby` (what its successor knows), `placement` (which node counts which tenant).
docs/notes/tenant-limits.md has the invariant, its proof, and what was weighed.
"""
