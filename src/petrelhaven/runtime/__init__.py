"""Clock, tasks, errors, events and settings shared by all programs."""
