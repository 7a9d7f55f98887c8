"""A database pooler with failover."""
