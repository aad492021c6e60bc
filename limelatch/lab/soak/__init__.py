"""The soak test: real relay processes under combinations of faults that are generated from a seed."""
