"""Runs petrelhavenctl as `python -m petrelhaven.commands.ctl`."""

from petrelhaven.commands.ctl.program import main

if __name__ == "__main__":
    main()
