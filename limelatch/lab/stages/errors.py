"""What ends a stage before its time."""


class StageError(Exception):
    """The stage can't go on; it says why."""
