"""Decides what binds a text whose ledger record lacks its terms, by the settings' products. Does no I/O."""

from __future__ import annotations

from limelatch.interface import UNKNOWN_PRODUCT, Effect, Product

# Nothing says what a repeat of its texts would do, so they are never repeated.
PRODUCT_NEVER_REPEATED = Product(
    Effect.ONCE_ONLY,
    sla_time=0,
    validity_period=0,
    revenue=0.0,
    late_share=0.0,
    by_halves=False,
    in_order=True,
)


class ProductTable:
    """The products of the settings in force, by name."""

    def __init__(self, names: list[str], products: list[Product]) -> None:
        """`names` and `products` have the same order; a product's number is its place in it."""
        self._numbers = {name: number for number, name in enumerate(names)}
        self._products = products

    def __contains__(self, name: str) -> bool:
        return name in self._numbers

    def number(self, name: str) -> int:
        """The product's number; UNKNOWN_PRODUCT where the settings don't have it."""
        return self._numbers.get(name, UNKNOWN_PRODUCT)

    def product(self, name: str) -> Product:
        """The product, or where the settings don't have it one whose texts are never repeated."""
        number = self.number(name)
        return PRODUCT_NEVER_REPEATED if number == UNKNOWN_PRODUCT else self._products[number]
