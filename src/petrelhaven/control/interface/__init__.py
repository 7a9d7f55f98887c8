"""HTTP interfaces of the control side for operators."""
