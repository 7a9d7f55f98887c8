"""The control side: configuration, failover and leases, agreed by the core machines."""
