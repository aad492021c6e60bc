"""The soak: real processes of relays under faults that are drawn from a seed and composed with each other."""
