"""Client sessions and the transactions in them."""
