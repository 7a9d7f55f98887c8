"""The seeded simulator, local fleets and measurements."""
