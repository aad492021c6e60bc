"""The error of an operators' command."""

from __future__ import annotations


class OperatorError(Exception):
    """A command failed; the message is sent to the operator and the connection stays open."""
