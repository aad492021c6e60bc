"""What the fleet stage can run: the module as it is, and plain baselines to hold it against."""

from __future__ import annotations

from limelatch.lab.stages.fleet import Subject
from limelatch.policy import Policy

SUBJECTS: dict[str, Subject] = {"module": Policy}
