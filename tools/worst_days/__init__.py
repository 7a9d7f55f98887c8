"""Draws days of piled-up troubles, plays them on the bench and shrinks those that break.

Run as a program: `PYTHONPATH=tools python3 -m worst_days --help`.
"""
