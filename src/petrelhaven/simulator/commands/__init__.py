"""The commands of petrelhaven-sim: a module a verb, which adds its parser and runs it."""
