"""A text in the driver's tables, and the refusal of one that does not come into them."""

from __future__ import annotations

from dataclasses import dataclass

from limelatch import interface as li
from limelatch.relay.clients import Client


@dataclass(slots=True)
class AcceptedText:
    """One text, from its arrival until the client or the platform has its final answer."""

    text: li.Text
    idempotency_key: bytes
    body: bytes  # empty if it is large and accepted; then the ledger has it
    product_settings: li.Product  # as of its arrival; a later configuration doesn't change them
    product: str  # name of the product
    client: Client | None = None  # while it waits for the answer to its submission
    submit_in_flight: bool = False  # a submit was recorded and has no outcome yet
    slot: int = 0  # in the driver's table of slots

    @property
    def key(self) -> bytes | None:
        """The ordering key; None where it has none or its product is not in order."""
        return self.text.key or None if self.product_settings.in_order else None


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a submission is refused: the reason for the log, in a word, and the answer to the client."""

    why: str
    answer: str
