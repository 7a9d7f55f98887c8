"""A proxy whose sessions outlive their connection, with replicas on other proxies."""
