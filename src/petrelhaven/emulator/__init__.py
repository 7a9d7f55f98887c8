"""Stand-ins for database members and the platform, for trials and tests."""
