"""The pseudo-random generator of the decision module: the same seed gives the same decisions."""


class RandomSource:
    """A linear congruential generator modulo 2**64, of which the high 31 bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def next_below(self, bound: int) -> int:
        """A number from 0 to `bound` - 1; 0 where the bound is not positive."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (self.state >> 33) * max(1, bound) >> 31
