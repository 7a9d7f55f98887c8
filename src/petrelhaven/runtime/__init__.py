"""Clocks, tasks, errors, events and settings that all programs share."""
