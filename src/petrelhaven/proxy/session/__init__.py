"""Client sessions, their transactions, statements and replies."""
