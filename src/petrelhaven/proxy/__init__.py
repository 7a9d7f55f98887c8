"""The proxy: client sessions, member connections and statement routing."""
