"""Control nodes: the replicated control state, failover, leases and configuration."""
