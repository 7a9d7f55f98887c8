"""Consensus between control nodes: the view register and the replication chain."""
