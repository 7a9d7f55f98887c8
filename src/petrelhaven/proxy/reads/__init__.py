"""Read positions: which log position a read must see, and which members have reached it."""
