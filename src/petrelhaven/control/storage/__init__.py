"""What a core machine keeps on its disk."""
