"""Adapter from the bench's binary protocol to the decision module: codec, names and units, no decisions."""
