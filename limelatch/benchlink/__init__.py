"""The bench's wire before the decision module: codec, names and units, and nothing else."""
