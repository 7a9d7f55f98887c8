"""Group membership and failure detection among the nodes of a fleet."""
