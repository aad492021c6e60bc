"""The terms of an accepted text, as its ledger record holds them.

They are those of its product when a client handed it in, and bind every process that has the text later: its
settings may have another product of that name by then, or none.
"""

from __future__ import annotations

from functools import lru_cache

import msgspec

from limelatch import interface as li

MAX_CACHED_TERMS = 256  # distinct terms that are shared, with their products, by the texts that were read


class TextTerms(msgspec.Struct, frozen=True, array_like=True):
    """What a product says of its texts, but for their order. Times are in tenths of a millisecond.

    The order of the fields is that of the array on disk: a new field goes to the end and has a default. The
    meaning of each is that of `limelatch.interface.Product`."""

    effect: li.Effect
    sla_time: int
    validity_period: int
    revenue: float
    late_share: float
    by_halves: bool
    retry_window: int
    retry_anywhere: bool


def encode_terms(product: li.Product) -> TextTerms:
    """The terms of a product's texts, for the record that accepts one of them."""
    return TextTerms(
        product.effect,
        product.sla_time,
        product.validity_period,
        product.revenue,
        product.late_share,
        product.by_halves,
        product.retry_window,
        product.retry_anywhere,
    )


def decode_terms(recorded: object) -> TextTerms:
    """The terms out of a record's JSON; equal ones are one object. Raises ValueError for those of another
    version."""
    try:
        return _shared(msgspec.convert(recorded, TextTerms))
    except msgspec.ValidationError as error:
        raise ValueError(f"terms: {error}") from None


@lru_cache(MAX_CACHED_TERMS)
def _shared(terms: TextTerms) -> TextTerms:
    """Guards against an object for each of very many open texts, where few products have all of them."""
    return terms


@lru_cache(MAX_CACHED_TERMS)
def product_of_terms(terms: TextTerms, in_order: bool) -> li.Product:
    """The product that the decision module gets for a text with these terms."""
    return li.Product(*msgspec.structs.astuple(terms), in_order=in_order)
