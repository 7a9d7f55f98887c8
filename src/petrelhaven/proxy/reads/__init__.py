"""Read routing: the read clock and log positions."""
