"""The proxy side: sessions, member connections and statement routing."""
