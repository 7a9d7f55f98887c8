"""A model of the control side: shipped cores in virtual time, drawn schedules of faults and orders, checked invariants."""
