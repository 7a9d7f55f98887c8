"""Agreement between core machines: the register of the view and the replication chain."""
