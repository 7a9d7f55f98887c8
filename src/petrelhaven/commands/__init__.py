"""Programs: the control daemon, the proxy daemon and the operator's tools."""
