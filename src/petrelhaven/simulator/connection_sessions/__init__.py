"""Simulation of sessions that live with their connection."""
