"""Model test of the control nodes: random faults and orders in virtual time, with checked invariants."""
