"""Limits on the operations of tenants, summed over all proxies, without any transport.

The functions and classes here take the time and the received reports as arguments and return
decisions, so that control nodes, proxies, the simulator and the model tests run the same code.
Reading order: `quota` (what a limit allows), `permit_pool` (the permits of one proxy), `counter`
(the node that counts a tenant), `standby` (the state of its successor), `placement` (which node
counts which tenant). docs/notes/tenant-limits.md has the invariant, its proof and the alternatives
that were considered.
"""
