"""A model of the control side: shipped cores in virtual time, drawn faults and orders, checked invariants."""
