"""Errors that abort a stage."""


class StageError(Exception):
    """The stage can't continue, for the reason in its message."""
