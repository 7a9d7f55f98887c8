"""petrelhavenctl, the operator's command line: a module for each theme of its commands."""

from petrelhaven.commands.ctl.program import main

__all__ = ["main"]
