"""A relay that delivers texts to outside partners through rate limits, outages, drains and restarts."""

__version__ = "0.2.0"
