"""The programs: the daemons of control nodes and proxies, and the operator tools."""
