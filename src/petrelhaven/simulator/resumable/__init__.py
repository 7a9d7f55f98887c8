"""The simulated fleet of resumable sessions."""
