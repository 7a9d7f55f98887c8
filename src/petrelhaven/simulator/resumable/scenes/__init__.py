"""One simulated run for each kind of fault."""
