"""Control of resumable sessions: sessions that outlive a connection, with replicas on other proxies."""
