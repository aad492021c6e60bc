"""The generator that the module draws its chances from."""


class RandomSource:
    """A linear congruential generator; the high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def next_below(self, bound: int) -> int:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (self.state >> 33) * max(1, bound) >> 31
