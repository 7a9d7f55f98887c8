"""petrelhavenctl, the operators' command line, with a module for each group of commands."""

from petrelhaven.commands.ctl.program import main

__all__ = ["main"]
